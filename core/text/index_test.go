package text

import "testing"

func TestRouteLookUp(t *testing.T) {
	parsed, problems := Parse([]byte(validText(t)))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	x := parsed.Index()
	tests := []struct{ method, path, want string }{
		{"POST", "/v1/completions", "completions"},
		{"POST", "/visits", "book"},
		{"GET", "/visits/17/notes", "lookup"},
		{"GET", "/visits/", "lookup"},
		{"DELETE", "/visits/17", "any"},
		{"GET", "/v1/completions", "any"},
		{"GET", "/status", "status"},
		{"PUT", "/", "any"},
		{"GET", "no-slash", ""},
		{"GET", "", ""},
	}
	for _, test := range tests {
		got := ""
		if r, ok := x.Route(test.method, test.path); ok {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("Route(%s, %q) = %q, want %q", test.method, test.path, got, test.want)
		}
	}
}

func TestEnginesByPool(t *testing.T) {
	parsed, _ := Parse([]byte(validText(t)))
	x := parsed.Index()
	if got := x.Engines("north", "summary", Decode); len(got) != 1 || got[0].Name != "decode-north-1" {
		t.Errorf("Engines(north, summary, Decode) = %v", got)
	}
	if got := x.Engines("south", "summary", Decode); len(got) != 0 {
		t.Errorf("Engines(south, summary, Decode) = %v, want none", got)
	}
	if r, _ := x.Route("GET", "/x"); r.Admits("other") || !r.Admits("tuinhulp") {
		t.Error("Admits does not match the route's list of organisations")
	}
}
