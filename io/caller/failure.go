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

// RanHeader says of an error whether the request ran.
const RanHeader = "X-Ran"

// errorBody is the body of an error answer.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is what callers learn of an error.
type errorDetail struct {
	Type      string `json:"type"`
	Message   string `json:"message"`
	Ran       string `json:"ran"`
	RequestID string `json:"request_id,omitempty"`
}

// ranWords are the words for whether a request ran.
var ranWords = map[fault.Ran]string{
	fault.NotRun:     "not run",
	fault.MayHaveRun: "may have run",
	fault.DidRun:     "ran",
}

// encodeError returns the body of the answer for an error.
func encodeError(f *fault.Error, id string) []byte {
	body, err := json.Marshal(errorBody{errorDetail{
		Type:      fault.ResponseFor(f.Kind).Type,
		Message:   f.Message,
		Ran:       ranWords[f.Ran],
		RequestID: id,
	}})
	if err != nil {
		return []byte(`{"error":{"type":"internal_error","message":"","ran":"may have run"}}`)
	}
	return body
}

// retryAfter returns the value of Retry-After in whole seconds, or "".
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

// fail answers with an error. An answer that has begun is never ended as if it
// were whole: a stream of events ends with an error event, and any other
// connection is cut.
func (x *exchange) fail(err error) {
	f := fault.From(err)
	if x.ended || x.gone() != nil {
		return
	}
	if x.begun {
		_ = x.conn.nbc.Close()
		return
	}
	x.begun = true
	h := x.w.Header()
	body := encodeError(f, x.shownID)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(RanHeader, ranWords[f.Ran])
	h.Set(httpcall.RequestIDHeader, x.shownID)
	if after := retryAfter(f, time.Now()); after != "" {
		h.Set("Retry-After", after)
	}
	if f.Kind == fault.Unauthenticated || f.Kind == fault.KeyWithdrawn {
		h.Set("WWW-Authenticate", "Bearer")
	}
	x.w.WriteHeader(knownStatus(fault.ResponseFor(f.Kind).Status))
	_, _ = x.w.Write(body)
}

// knownStatus returns status, or the general one of its class if the library
// has no reason phrase for it: it would answer 200 instead.
func knownStatus(status int) int {
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

// rawAnswer returns the bytes of an error answer to a request that was not read
// whole. The connection ends after it.
func rawAnswer(f *fault.Error) []byte {
	status := knownStatus(fault.ResponseFor(f.Kind).Status)
	body := encodeError(f, "")
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s: %s\r\nConnection: close\r\n\r\n",
		status, http.StatusText(status), len(body), RanHeader, ranWords[f.Ran])
	return append([]byte(head), body...)
}
