package platformsoak

import "testing"

// TestStormAddsNoPathTwice guards against findings on instances that apply the changes of a
// ConfigurationStorm late, but in order: if a path is removed and added again, a refusal from
// before looks like one from after.
func TestStormAddsNoPathTwice(t *testing.T) {
	routes := stormRoutes{prefix: "/storm/1/"}
	present := make(map[string]bool)
	added := make(map[string]bool)
	for range 50 {
		a, removed := routes.next()
		if added[a.Prefix] {
			t.Errorf("%s is added twice", a.Prefix)
		}
		if removed.Prefix != "" && !present[removed.Prefix] {
			t.Errorf("%s is removed and was not there", removed.Prefix)
		}
		delete(present, removed.Prefix)
		added[a.Prefix], present[a.Prefix] = true, true
		if len(present) > maxStormRoutes {
			t.Errorf("%d routes at a time, want at most %d", len(present), maxStormRoutes)
		}
	}
}
