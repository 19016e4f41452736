package httpcall

import (
	"context"
	"io"
	"time"

	"monsoonfork/core/fault"
)

// receive hands the answer to the sink until it is whole, or a limit passes.
func (c *Client) receive(ctx context.Context, call Call, x *exchange, sink Sink) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	headTaken := false
	for {
		s := x.take(headTaken)
		if s.head != nil {
			headTaken = true
			if err := c.checkID(call, *s.head); err != nil {
				return err
			}
			if err := sink.OnHead(*s.head); err != nil {
				return err
			}
		}
		if err := handOver(s.pieces, sink); err != nil {
			return err
		}
		if s.err != nil {
			return s.err
		}
		if s.complete {
			return nil
		}
		by, message := nextLimit(call.Limits, s.lastByte)
		if !by.IsZero() && !time.Now().Before(by) {
			return fault.New(fault.EndpointTimeout, "%s", message)
		}
		if err := wait(ctx, x, timer, by); err != nil {
			return err
		}
	}
}

// handOver gives pieces to the sink.
func handOver(pieces [][]byte, sink Sink) error {
	if sink.OnPiece == nil {
		return nil
	}
	for _, piece := range pieces {
		if err := sink.OnPiece(piece); err != nil {
			return err
		}
	}
	return nil
}

// checkID refuses an answer that names another request.
func (c *Client) checkID(call Call, head Head) error {
	id := head.Header.Get(RequestIDHeader)
	if id == "" || call.ID == "" || id == call.ID {
		return nil
	}
	c.CountCrossed()
	return fault.New(fault.AnswerBroken, "the answer belongs to another request")
}

// nextLimit returns the time limit that passes next, and the message for it.
func nextLimit(l Limits, lastByte time.Time) (time.Time, string) {
	by, message := l.WholeBy, "the answer was not whole in time"
	stage, stageMessage := l.FirstByteBy, "no byte of an answer came in time"
	if !lastByte.IsZero() {
		stage, stageMessage = time.Time{}, "the answer fell silent"
		if l.PieceWithin > 0 {
			stage = lastByte.Add(l.PieceWithin)
		}
	}
	if !stage.IsZero() && (by.IsZero() || stage.Before(by)) {
		return stage, stageMessage
	}
	return by, message
}

// wait returns when the exchange changed or the limit has passed, or with an
// error when ctx was cancelled.
func wait(ctx context.Context, x *exchange, timer *time.Timer, by time.Time) error {
	var expired <-chan time.Time
	if !by.IsZero() {
		timer.Reset(time.Until(by))
		expired = timer.C
	}
	select {
	case <-x.ready:
		return nil
	case <-expired:
		return nil
	case <-ctx.Done():
		return cancelled(ctx, fault.MayHaveRun)
	}
}

// orEOF returns err, or io.EOF in its place if it is nil.
func orEOF(err error) error {
	if err == nil {
		return io.EOF
	}
	return err
}
