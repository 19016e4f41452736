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

// MaxProfileSeconds is the longest time that a profile may cover.
const MaxProfileSeconds = 60

// profile writes the processor profile of the next seconds in the format of the
// pprof tools. One profile is taken at a time.
func (s *server) profile(w http.ResponseWriter, r *http.Request) {
	seconds, err := strconv.Atoi(r.URL.Query().Get("seconds"))
	if err != nil || seconds < 1 || seconds > MaxProfileSeconds {
		s.fail(w, fault.New(fault.BadRequest, "query field seconds: write a whole number from 1 to %d", MaxProfileSeconds))
		return
	}
	// The profile is collected before the answer begins, so that an error can
	// still be answered.
	var collected bytes.Buffer
	if err := pprof.StartCPUProfile(&collected); err != nil {
		s.fail(w, fault.Wrap(err, fault.BadRequest, "a profile is already being taken"))
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

// Profile returns the processor profile of the daemon's next seconds.
func (c *Client) Profile(ctx context.Context, seconds int) ([]byte, error) {
	query := url.Values{"seconds": {strconv.Itoa(seconds)}}
	patient := *c
	patient.http.Timeout += time.Duration(seconds) * time.Second
	body, _, err := patient.call(ctx, http.MethodGet, "/profile?"+query.Encode(), nil)
	return body, err
}
