package httpcall

import (
	"context"
	"io"
	"time"

	"github.com/lesismal/nbio"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/fault"
)

// receive passes the response to the sink until it is complete or a time limit is
// exceeded.
func (c *Client) receive(ctx context.Context, call Call, nbc *nbio.Conn, x *exchange, sink endpoint.Sink) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	headDelivered := false
	for {
		update := x.takeReceived(headDelivered)
		if update.head != nil {
			headDelivered = true
			if err := c.checkRequestID(call, *update.head); err != nil {
				return err
			}
			if err := sink.OnHead(*update.head); err != nil {
				return err
			}
		}
		if err := deliver(update.fragments, sink); err != nil {
			return err
		}
		if len(update.fragments) > 0 {
			update.lastReadAt = time.Now() // The endpoint is not silent while the sink waits.
			x.resume(nbc)
		}
		if update.err != nil {
			return update.err
		}
		if update.complete {
			return nil
		}
		deadline, message := nextDeadline(call.Limits, update.lastReadAt)
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			return fault.New(fault.EndpointTimeout, "%s", message)
		}
		if err := waitForChange(ctx, x, timer, deadline); err != nil {
			return err
		}
	}
}

// deliver passes fragments of the body to the sink.
func deliver(fragments [][]byte, sink endpoint.Sink) error {
	if sink.OnBody == nil {
		return nil
	}
	for _, data := range fragments {
		if err := sink.OnBody(data); err != nil {
			return err
		}
	}
	return nil
}

// checkRequestID rejects a response with the id of another request.
func (c *Client) checkRequestID(call Call, head endpoint.Head) error {
	id := head.Header.Get(RequestIDHeader)
	if id == "" || call.ID == "" || id == call.ID {
		return nil
	}
	c.CountMismatchedID()
	return fault.New(fault.AnswerBroken, "the response has the id of another request")
}

// nextDeadline returns the next deadline of the call, and the error message for
// exceeding it.
func nextDeadline(l endpoint.Limits, lastReadAt time.Time) (time.Time, string) {
	deadline, message := l.ResponseDeadline, "the response was not complete in time"
	stageDeadline, stageMessage := l.FirstByteDeadline, "no byte of a response arrived in time"
	if !lastReadAt.IsZero() {
		stageDeadline, stageMessage = time.Time{}, "the response stalled"
		if l.ReadTimeout > 0 {
			stageDeadline = lastReadAt.Add(l.ReadTimeout)
		}
	}
	if !stageDeadline.IsZero() && (deadline.IsZero() || stageDeadline.Before(deadline)) {
		return stageDeadline, stageMessage
	}
	return deadline, message
}

// waitForChange waits until the exchange changes or the deadline passes, and returns an
// error if ctx is cancelled.
func waitForChange(ctx context.Context, x *exchange, timer *time.Timer, deadline time.Time) error {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer.Reset(time.Until(deadline))
		expired = timer.C
	}
	select {
	case <-x.changed:
		return nil
	case <-expired:
		return nil
	case <-ctx.Done():
		return cancellationError(ctx, fault.MayHaveRun)
	}
}

// orEOF returns err, or io.EOF in its place if it is nil.
func orEOF(err error) error {
	if err == nil {
		return io.EOF
	}
	return err
}
