package operator

import (
	"net/http"
	"testing"
	"time"

	"monsoonfork/core/fault"
)

// TestErrorResponseKeepsRanAndRetryAfter guards against an operator who reads that an edit
// has not run although the daemon said that it may have.
func TestErrorResponseKeepsRanAndRetryAfter(t *testing.T) {
	for body, want := range map[string]struct {
		ran   fault.Ran
		after time.Duration
	}{
		`{"Kind":"StoreUnavailable","Ran":"MayHaveRun","RetryAfterMS":60000}`: {fault.MayHaveRun, time.Minute},
		`{"Kind":"StoreUnavailable","Ran":"NotRun"}`:                          {fault.NotRun, 0},
		`{"Kind":"StoreUnavailable","Ran":"DidRun"}`:                          {fault.DidRun, 0},
		`{"Kind":"StoreUnavailable","Ran":"?","RetryAfterMS":-1}`:             {fault.MayHaveRun, 0},
		`{"Kind":"StoreUnavailable","RetryAfterMS":9223372036854775807}`:      {fault.MayHaveRun, time.Hour},
	} {
		e := fault.From(decodeError(http.StatusServiceUnavailable, []byte(body)))
		after := time.Duration(0)
		if !e.RetryAfter.IsZero() {
			after = time.Until(e.RetryAfter)
		}
		if e.Kind != fault.StoreUnavailable || e.Ran != want.ran || after > want.after || after < want.after-10*time.Second {
			t.Errorf("%s: kind %v, ran %v, retry after %v", body, e.Kind, e.Ran, after)
		}
	}
}
