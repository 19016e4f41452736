package caller

import (
	"net/http"
	"testing"
)

// TestMethodIsNotChanged guards against a request that runs with another method than its
// caller sent: the parser changes methods to upper case.
func TestMethodIsNotChanged(t *testing.T) {
	s := newTestServer(t)
	for _, method := range []string{"get", "Get", "pOST"} {
		if got := sendOnOneConnection(t, s.address, method); len(got) != 1 || got[0] != http.StatusBadRequest {
			t.Errorf("%s: got statuses %v, want 400", method, got)
		}
	}
}
