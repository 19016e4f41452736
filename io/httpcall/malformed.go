package httpcall

import (
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/loglimit"
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
	limit   *loglimit.Limit[ident.Address] // Of the log lines about an endpoint.
	counter metrics.Counter
}

// newMalformedReport returns a report that has counted no responses.
func newMalformedReport(logger log.Logger, counter metrics.Counter) *malformedReport {
	limit := loglimit.New(func(a ident.Address, count int) {
		_ = level.Warn(logger).Log("msg", event.MalformedSuppressed, "endpoint", string(a), "count", count, "window_ms", loglimit.Window.Milliseconds())
	})
	return &malformedReport{log: logger, limit: limit, counter: counter}
}

// record records the error of a call, if it is that of a malformed response.
func (r *malformedReport) record(call Call, err error) {
	var malformed malformedResponse
	if !errors.As(err, &malformed) {
		return
	}
	r.counter.Inc(1)
	if !r.limit.Allow(call.Address) {
		return
	}
	_ = level.Warn(r.log).Log("msg", event.AnswerMalformed, "request", call.ID, "endpoint", string(call.Address), "problem", malformed.problem)
}
