package operator

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"runtime/pprof"
	"strconv"
	"time"

	"monsoonfork/core/fault"
)

// MaxProfileSeconds is the longest duration of a CPU profile.
const MaxProfileSeconds = 60

// profile writes a CPU profile of the next seconds in the format of pprof. Only one
// profile is collected at a time.
func (s *server) profile(w http.ResponseWriter, r *http.Request) {
	seconds, err := strconv.Atoi(r.URL.Query().Get("seconds"))
	if err != nil || seconds < 1 || seconds > MaxProfileSeconds {
		s.writeError(w, fault.New(fault.BadRequest, "query field seconds: must be a whole number from 1 to %d", MaxProfileSeconds))
		return
	}
	// The profile is collected before the response begins, so that an error can
	// still be reported.
	var collected bytes.Buffer
	if err := pprof.StartCPUProfile(&collected); err != nil {
		s.writeError(w, fault.Wrap(err, fault.BadRequest, "a profile is already being collected"))
		return
	}
	select {
	case <-r.Context().Done():
	case <-time.After(time.Duration(seconds) * time.Second):
	}
	pprof.StopCPUProfile()
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(collected.Bytes())
}

// Profile returns a CPU profile of the daemon over the next seconds.
func (c *Client) Profile(ctx context.Context, seconds int) ([]byte, error) {
	query := url.Values{"seconds": {strconv.Itoa(seconds)}}
	extended := *c
	extended.http.Timeout += time.Duration(seconds) * time.Second
	body, _, err := extended.call(ctx, http.MethodGet, "/profile?"+query.Encode(), nil)
	return body, err
}
