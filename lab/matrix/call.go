package matrix

import (
	"context"
	"fmt"
	"strings"
	"time"

	"monsoonfork/platform/standin"
)

// Sizes and times of the requests.
const (
	requestTimeout = 15 * time.Second
	bodyBytes      = 2000
	promptTokens   = 1000
	longPrompt     = 20_000 // Takes a second by the instance's estimate, so that its prefill may be held.
	outputTokens   = 100
	headShare      = 0.05 // Ends in the head of a request.
	bodyShare      = 0.8  // Ends in the body of a request.
	isOpenWait     = 5 * time.Millisecond
)

// call is a request that is in a state when the event begins.
type call struct {
	row     Row
	request standin.Request
	conn    *standin.HeldConnection
	ahead   *standin.Request // Request before it on the connection, without an answer; nil for none.

	reached      bool // The request got into its state.
	closedBefore bool // The connection was closed before the rest of the request was sent.
	sentWhole    bool
	sentAt       time.Time // When the last byte was sent.
	answer       standin.Answer
	endedAt      time.Time
	done         chan struct{} // Closed when the call has ended.
}

// newRequest returns the request of a row.
func newRequest(r Row, id string) standin.Request {
	request := standin.Request{
		ID: id, Host: routeHost, Path: routePrefix(r) + "x", Key: ownerKey,
		Timeout: requestTimeout, Body: strings.Repeat("b", bodyBytes),
		Chunked: r.State == ChunksHalfRead, Close: r.State == AtEngineClosing,
	}
	if r.Kind.isStream() {
		request.Stream, request.Prompt, request.Output = true, promptTokens, outputTokens
	}
	if r.State == Prefilling {
		request.Prompt = longPrompt
	}
	return request
}

// prepare opens the connection of a row's request and sends what its state has.
func (f *fleet) prepare(ctx context.Context, r Row, id string) (*call, error) {
	c := &call{row: r, request: newRequest(r, id), done: make(chan struct{})}
	var err error
	if c.conn, err = standin.Hold(ctx, f.address()); err != nil {
		return nil, err
	}
	if p, held := r.holdPoint(); held {
		f.engines.Holds.Add(c.request.ID, p)
	}
	switch r.State {
	case Accepted:
		return c, nil
	case HeadHalfRead:
		return c, c.conn.SendPart(c.request, headShare)
	case BodyHalfRead, ChunksHalfRead:
		return c, c.conn.SendPart(c.request, bodyShare)
	case NotHandled:
		return c, f.sendAhead(ctx, c)
	case KeptIdle:
		return c, c.useConnection()
	case Unacknowledged:
		if err := c.conn.LimitBuffer(); err != nil {
			return nil, err
		}
		return c, c.send()
	default:
		if err := c.send(); err != nil {
			return nil, err
		}
		go c.receive()
		return c, nil
	}
}

// send sends the request whole.
func (c *call) send() error {
	err := c.conn.SendPart(c.request, 1)
	c.sentWhole, c.sentAt = err == nil, time.Now()
	return err
}

// sendAhead sends a request that an engine holds, and the call's request behind it.
func (f *fleet) sendAhead(ctx context.Context, c *call) error {
	ahead := newRequest(c.row, "ahead-"+c.request.ID)
	f.engines.Holds.Add(ahead.ID, standin.BeforeAnswer)
	c.ahead = &ahead
	if err := c.conn.SendPart(ahead, 1); err != nil {
		return err
	}
	if !await(ctx, func() bool { return f.engines.Holds.Reached(ahead.ID) > 0 }) {
		return fmt.Errorf("%s: no engine has got the request ahead", c.row)
	}
	err := c.send()
	go c.receive()
	return err
}

// useConnection makes an earlier request on the connection and receives its answer.
func (c *call) useConnection() error {
	first := newRequest(c.row, "first-"+c.request.ID)
	if err := c.conn.SendPart(first, 1); err != nil {
		return err
	}
	if answer, mayReuse := c.conn.Receive(first); !mayReuse {
		return fmt.Errorf("%s: earlier request: %+v", c.row, answer)
	}
	return nil
}

// awaitState waits until the call is in its state, as far as engines and sockets show, or has
// ended.
func (f *fleet) awaitState(ctx context.Context, c *call) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	go func() {
		select {
		case <-c.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	held := func(engines int) func() bool {
		return func() bool { return f.engines.Holds.Reached(c.request.ID) >= engines }
	}
	switch c.row.State {
	case Hedged:
		c.reached = await(ctx, held(2))
	case Prefilling, AtEngine, AtEngineClosing:
		c.reached = await(ctx, held(1))
	case FirstPartWritten, MidStream:
		c.reached = await(ctx, held(1)) && await(ctx, func() bool { return c.conn.Received() > 0 })
	case WaitingForMemory:
		c.reached = await(ctx, func() bool { return f.full[0].RefusedReservations()+f.full[1].RefusedReservations() > 0 })
	case Unacknowledged:
		c.reached = await(ctx, func() bool { return !c.conn.IsOpen(isOpenWait) })
	default:
		c.reached = true
	}
}

// hasEnded reports whether the call has ended.
func (c *call) hasEnded() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// sendRest sends what is missing of the request after the event has begun.
func (c *call) sendRest() {
	if c.row.sentWhole() {
		return
	}
	if !c.conn.IsOpen(isOpenWait) {
		c.closedBefore = true // Unless an answer has arrived.
		go c.receive()
		return
	}
	var err error
	if c.row.State == Accepted || c.row.State == KeptIdle {
		err = c.send()
	} else {
		err = c.conn.SendRest()
		c.sentWhole, c.sentAt = err == nil, time.Now()
	}
	c.closedBefore = err != nil
	go c.receive()
}

// receive receives the answer, after that to the request ahead.
func (c *call) receive() {
	defer close(c.done)
	if c.ahead != nil {
		if answer, mayReuse := c.conn.Receive(*c.ahead); !mayReuse {
			c.answer, c.endedAt = answer, time.Now()
			c.answer.Problem = fmt.Sprintf("the request ahead: %s", answer.Problem)
			return
		}
	}
	c.answer, _ = c.conn.Receive(c.request)
	c.endedAt = time.Now()
	c.closedBefore = c.closedBefore && c.answer.Status == 0
}
