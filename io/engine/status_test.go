package engine

import (
	"net/http"
	"testing"

	"monsoonfork/core/fault"
)

// TestFailureWithFencingNumberMayHaveRun guards against a call that failed at its engine being
// taken for one that has not run, and so sent again, since its answer names a fencing number.
func TestFailureWithFencingNumberMayHaveRun(t *testing.T) {
	const body = `{"error":"x","fencing":3}`
	for _, c := range []struct {
		status int
		kind   fault.Kind
		ran    fault.Ran
	}{
		{http.StatusConflict, fault.NotHolder, fault.NotRun},
		{http.StatusInternalServerError, fault.EndpointFailed, fault.MayHaveRun},
		{http.StatusServiceUnavailable, fault.EndpointFailed, fault.MayHaveRun},
		{http.StatusAccepted, fault.EndpointFailed, fault.MayHaveRun},
	} {
		if err := statusError(c.status, []byte(body)); err.Kind != c.kind || err.Ran != c.ran {
			t.Errorf("status %d: %v, %v; want %v, %v", c.status, err.Kind, err.Ran, c.kind, c.ran)
		}
	}
}
