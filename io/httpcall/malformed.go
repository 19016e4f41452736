package httpcall

import (
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/io/http1"
)

// malformedResponse is the cause of the error for a response with a malformed line. It has no bytes of
// the response.
type malformedResponse struct{ problem http1.Problem }

// Error implements error.
func (e malformedResponse) Error() string { return e.problem.String() }

// malformedError returns the error for a response with a malformed line. Bytes that do not begin like
// a response are none.
func malformedError(problem http1.Problem) *fault.Error {
	kind := fault.AnswerBroken
	if problem == http1.InvalidStatusLine {
		kind = fault.EndpointFailed
	}
	return fault.Wrap(malformedResponse{problem}, kind, "malformed response")
}

// malformedReport logs and counts malformed responses.
type malformedReport struct {
	log     log.Logger
	counter metrics.Counter
}

// record records the error of a call, if it is that of a malformed response.
func (r malformedReport) record(call Call, err error) {
	var malformed malformedResponse
	if !errors.As(err, &malformed) {
		return
	}
	r.counter.Inc(1)
	_ = level.Warn(r.log).Log("msg", event.AnswerMalformed, "request", call.ID, "endpoint", string(call.Address), "problem", malformed.problem)
}
