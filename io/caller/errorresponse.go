package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/io/httpcall"
)

// RanHeader is the header of an error response that states whether the request was
// executed.
const RanHeader = "X-Ran"

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail describes an error to the caller.
type errorDetail struct {
	Type      string `json:"type"`
	Message   string `json:"message"`
	Ran       string `json:"ran"`
	RequestID string `json:"request_id,omitempty"`
}

// ranValues are the values of RanHeader and of the field ran.
var ranValues = map[fault.Ran]string{
	fault.NotRun:     "not run",
	fault.MayHaveRun: "may have run",
	fault.DidRun:     "ran",
}

// encodeError returns the JSON body of an error response.
func encodeError(f *fault.Error, id string) []byte {
	body, err := json.Marshal(errorBody{errorDetail{
		Type:      fault.ResponseFor(f.Kind).Type,
		Message:   f.Message,
		Ran:       ranValues[f.Ran],
		RequestID: id,
	}})
	if err != nil {
		return []byte(`{"error":{"type":"internal_error","message":"","ran":"may have run"}}`)
	}
	return body
}

// retryAfter returns the value of Retry-After in whole seconds, or "" for an error
// without one.
func retryAfter(f *fault.Error, now time.Time) string {
	if !fault.ResponseFor(f.Kind).RetryAfter {
		return ""
	}
	seconds := 1.0
	if !f.RetryAfter.IsZero() {
		seconds = max(1, math.Ceil(f.RetryAfter.Sub(now).Seconds()))
	}
	return strconv.FormatInt(int64(seconds), 10)
}

// writeError sends an error response. A response that has already started must not end
// as if it were complete: an event stream has sent an error event (errorSent), and any
// other connection is closed.
func (x *exchange) writeError(err error) {
	f := fault.From(err)
	if x.errorSent || x.checkCaller() != nil {
		return
	}
	if x.started {
		_ = x.conn.nbc.Close()
		return
	}
	x.started = true
	h := x.w.Header()
	body := encodeError(f, x.responseID)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(RanHeader, ranValues[f.Ran])
	h.Set(httpcall.RequestIDHeader, x.responseID)
	if after := retryAfter(f, time.Now()); after != "" {
		h.Set("Retry-After", after)
	}
	if f.Kind == fault.Unauthenticated || f.Kind == fault.KeyWithdrawn {
		h.Set("WWW-Authenticate", "Bearer")
	}
	x.setConnectionClose()
	x.w.WriteHeader(statusWithReason(fault.ResponseFor(f.Kind).Status))
	_ = x.writeBody(body) // A write error means that the caller has disconnected.
}

// statusWithReason returns status, or a generic one of the same class if net/http has no
// reason phrase for it: nbhttp would send 200 in its place.
func statusWithReason(status int) int {
	if http.StatusText(status) != "" {
		return status
	}
	switch status / 100 {
	case 2:
		return http.StatusOK
	case 3:
		return http.StatusMultipleChoices
	case 4:
		return http.StatusBadRequest
	}
	return http.StatusBadGateway
}

// rawErrorResponse returns the bytes of an error response to a request that was not read
// completely. It announces that the connection is closed.
func rawErrorResponse(f *fault.Error) []byte {
	status := statusWithReason(fault.ResponseFor(f.Kind).Status)
	body := encodeError(f, "")
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s: %s\r\nConnection: close\r\n",
		status, http.StatusText(status), len(body), RanHeader, ranValues[f.Ran])
	if after := retryAfter(f, time.Now()); after != "" {
		head += "Retry-After: " + after + "\r\n"
	}
	return append([]byte(head+"\r\n"), body...)
}
