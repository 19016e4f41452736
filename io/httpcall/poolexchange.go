package httpcall

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"monsoonfork/core/contain"
	"monsoonfork/core/endpoint"
	"monsoonfork/core/fault"
	"monsoonfork/io/http1"
)

const (
	// maxFragmentBytes is the maximum size of a fragment passed to a sink.
	maxFragmentBytes = 32 << 10
	// maxSyncWriteBytes is the largest request that is written completely before the
	// response is read. A larger one is written concurrently, since the endpoint may
	// respond before it has read it all.
	maxSyncWriteBytes = 8 << 10
)

// poolExchange is a call on a connection of a Pool.
type poolExchange struct {
	pool *Pool
	ctx  context.Context
	call Call
	conn *poolConn
	sink endpoint.Sink
	head endpoint.Head

	isFirst   bool             // Nothing was sent on the connection before.
	writeDone chan writeResult // Result of a concurrent write; nil if the request was written first.
	writeErr  error            // Error of a write before the response was read.
}

// writeResult is the result of a concurrent write.
type writeResult struct {
	err   error
	panic *contain.Panic // The write has panicked.
}

// run sends the request, whose encoded head is given, and receives the response. It reports
// whether the connection can be reused.
func (x *poolExchange) run(head []byte) (bool, error) {
	if deadline := x.call.Limits.SendDeadline; !deadline.IsZero() && !time.Now().Before(deadline) {
		return true, fault.New(fault.DeadlineExceeded, "the deadline to send the request has passed").WithRan(fault.NotRun)
	}
	if x.call.BeforeSend != nil {
		if err := x.call.BeforeSend(); err != nil {
			return true, fault.From(err).WithRan(fault.NotRun)
		}
	}
	x.isFirst = !x.conn.used
	x.conn.recordCall(x.call, time.Now())
	_ = x.conn.SetDeadline(x.call.Limits.ResponseDeadline)
	stop := context.AfterFunc(x.ctx, func() { _ = x.conn.Close() })
	reusable, err := x.exchange(head)
	if !stop() {
		reusable = false
	}
	if x.writeDone != nil {
		reusable = x.awaitWrite(reusable)
	}
	if err != nil && x.ctx.Err() != nil {
		return false, cancellationError(x.ctx, fault.MayHaveRun)
	}
	return reusable && err == nil, err
}

// writeReportTime is how long a call waits after its response for the end of the concurrent write,
// which is reported by another goroutine.
const writeReportTime = 25 * time.Millisecond

// awaitWrite reports whether the connection can be reused after a concurrent write. It can't if
// the write has not ended: the endpoint responded before it read the complete request.
func (x *poolExchange) awaitWrite(reusable bool) bool {
	select {
	case res := <-x.writeDone:
		return res.succeeded() && reusable
	default:
	}
	if !reusable {
		return false
	}
	timer := time.NewTimer(writeReportTime)
	defer timer.Stop()
	select {
	case res := <-x.writeDone:
		return res.succeeded()
	case <-timer.C:
		return false
	}
}

// succeeded reports whether the write has succeeded. It panics if the write has.
func (r writeResult) succeeded() bool {
	if r.panic != nil {
		panic(r.panic)
	}
	return r.err == nil
}

// exchange writes the request and reads the response. A large body is not copied, as several
// calls may send it at once.
func (x *poolExchange) exchange(head []byte) (bool, error) {
	if len(head)+len(x.call.Body) > maxSyncWriteBytes {
		if err := x.conn.setUserTimeout(largeUserTimeout); err != nil {
			return false, err
		}
		x.writeDone = make(chan writeResult, 1)
		go x.writeConcurrently(head)
	} else if _, err := x.conn.Write(append(head, x.call.Body...)); err != nil {
		// The endpoint may have responded before it closed the connection.
		x.writeErr = err
	}
	res, err := x.readHead()
	if err != nil {
		return false, err
	}
	x.endLargeWrite()
	complete := false
	defer func() {
		if !complete {
			_ = x.conn.Close() // Closing the body would otherwise read on to its end.
		}
		_ = res.Body.Close()
	}()
	x.head = endpoint.Head{Status: res.StatusCode, Header: res.Header, Length: res.ContentLength}
	if !x.isOwnResponse(res.Header) {
		x.pool.counters.mismatched.Inc(1)
		return false, fault.New(fault.AnswerBroken, "the response has the id of another request, or none")
	}
	if err := x.sink.OnHead(x.head); err != nil {
		return false, err
	}
	if err := x.readBody(res.Body); err != nil {
		return false, err
	}
	if endsWithConnection(res) {
		if err := x.checkOrderlyEnd(); err != nil {
			return false, err
		}
	}
	if problem := http1.CheckNames(res.Trailer); problem != http1.NoProblem {
		return false, malformedError(problem)
	}
	complete = true
	x.updateExpiry(res.Header)
	return !res.Close && x.conn.br.Buffered() == 0 && x.writeErr == nil, nil
}

// writeConcurrently writes the request while the response is read. If it panics, it closes the
// connection, so that the call ends; the call then panics for it.
func (x *poolExchange) writeConcurrently(head []byte) {
	var res writeResult
	res.panic = contain.Call(func() {
		if _, res.err = x.conn.Write(head); res.err == nil {
			_, res.err = x.conn.Write(x.call.Body)
		}
	})
	x.writeDone <- res
	if res.panic != nil {
		_ = x.conn.Close()
	}
}

// isOwnResponse reports whether a response belongs to the call: it has the call's id. A
// response without an id may do so only if no other call was sent on the connection.
func (x *poolExchange) isOwnResponse(h http.Header) bool {
	id := h.Get(RequestIDHeader)
	if id == "" && x.isFirst {
		return true
	}
	return id == x.call.ID
}

// readHead reads the head of the final response and skips interim responses.
func (x *poolExchange) readHead() (*http.Response, error) {
	deadline := earliest(x.call.Limits.FirstByteDeadline, x.call.Limits.ResponseDeadline)
	_ = x.conn.SetReadDeadline(deadline)
	x.conn.head.begin()
	defer x.conn.head.end()
	for {
		res, err := http.ReadResponse(x.conn.br, &http.Request{Method: x.call.Method})
		if x.conn.head.err != nil {
			// The parser may report the incomplete line instead of the reader's error, or no error.
			return nil, x.conn.head.err
		}
		if err != nil {
			return nil, x.readError(err, fault.EndpointFailed, "no response from the endpoint")
		}
		if err := checkStatus(res.StatusCode); err != nil {
			return nil, err
		}
		if !isInterim(res.StatusCode) {
			return res, nil
		}
	}
}

// readBody passes the body to the sink. A body without a length is complete when the
// endpoint closes the connection, and broken when the connection is reset.
func (x *poolExchange) readBody(body io.Reader) error {
	buf := make([]byte, maxFragmentBytes)
	total := int64(0)
	for {
		deadline := x.call.Limits.ResponseDeadline
		if timeout := x.call.Limits.ReadTimeout; timeout > 0 {
			deadline = earliest(deadline, time.Now().Add(timeout))
		}
		_ = x.conn.SetReadDeadline(deadline)
		n, err := body.Read(buf)
		total += int64(n)
		if total > x.pool.maxBytes {
			return fault.New(fault.AnswerBroken, "the response is larger than %d bytes", x.pool.maxBytes)
		}
		if n > 0 && x.sink.OnBody != nil {
			if err := x.sink.OnBody(append([]byte(nil), buf[:n]...)); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return x.readError(err, fault.AnswerBroken, "the endpoint closed the connection within its response")
		}
	}
}

// readError returns the error for a failed read: EndpointTimeout after a timeout, or one
// of the given kind.
func (x *poolExchange) readError(err error, kind fault.Kind, message string) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return fault.Wrap(err, fault.EndpointTimeout, "the endpoint did not respond in time")
	}
	if x.writeErr != nil {
		err = errors.CombineErrors(err, x.writeErr)
	}
	return fault.Wrap(err, kind, "%s", message)
}

// updateExpiry sets the expiry of the connection from the Keep-Alive header.
func (x *poolExchange) updateExpiry(h http.Header) {
	_, after, found := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !found {
		return
	}
	value, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || seconds < 0 {
		return
	}
	// Half the timeout, as the endpoint's may have started before the response arrived.
	x.conn.expires = time.Now().Add(time.Duration(seconds) * time.Second / 2)
}
