package peer

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/contain"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

// registerHandler registers the handler of a method.
func (l *Links) registerHandler(method string, h link.Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers[method] = h
}

// RoleLinks returns the links in the form of package link, which roles depend on.
func (l *Links) RoleLinks() *link.Links {
	return &link.Links{
		Call: l.Call, CallAddress: l.CallAddress, Serve: l.registerHandler, CloseSession: l.CloseSession,
		UseMembers: func(addressOf func(ident.InstanceID) (ident.Address, bool), unreachable func(ident.InstanceID, error)) {
			l.AddressOf, l.Unreachable = addressOf, unreachable
		},
	}
}

// handlerFor returns the handler of a method, or nil if there is none.
func (l *Links) handlerFor(method string) link.Handler {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handlers[method]
}

// contain runs a step of the work on what other instances send. A panic ends only the step:
// otherwise an instance would end each one that it calls.
func (l *Links) contain(step string, f func()) error {
	return contain.Boundary{Log: l.log, Panics: l.metrics.containedPanics}.Run(step, f)
}

// serveSession accepts streams and serves their calls until the session ends.
func (l *Links) serveSession(session *yamux.Session, from ident.InstanceID) {
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			_ = l.contain("stream", func() { l.serveStream(stream, from) }) // A panic is logged and closes the stream.
		}()
	}
}

// serveStream serves the calls of one stream, one at a time, until the calling
// instance closes the stream or the session ends.
func (l *Links) serveStream(stream net.Conn, from ident.InstanceID) {
	defer func() { _ = stream.Close() }()
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	calls := make(chan *CallHeader)
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		// The end of the stream cancels the running handler.
		defer cancel()
		_ = l.contain("stream", func() { readCalls(ctx, stream, calls) }) // A panic is logged and closes the stream.
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case header := <-calls:
			if !l.serveCall(ctx, stream, from, header) {
				return
			}
		}
	}
}

// readCalls reads the calls of a stream and sends them to calls until the stream or
// ctx ends.
func readCalls(ctx context.Context, stream net.Conn, calls chan<- *CallHeader) {
	r := newStreamReader(stream)
	for {
		header := &CallHeader{}
		if err := readMessage(r, header); err != nil {
			return
		}
		select {
		case calls <- header:
		case <-ctx.Done():
			return
		}
	}
}

// serveCall runs the handler of one call with the timeout given by the calling
// instance, writes the reply, and reports whether the stream may carry another call.
func (l *Links) serveCall(ctx context.Context, stream net.Conn, from ident.InstanceID, header *CallHeader) bool {
	timeout := time.Duration(header.GetTimeoutUs()) * time.Microsecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l.metrics.callsServed.Inc(1)
	reply := l.runHandler(ctx, from, header)
	if err := writeMessage(stream, reply); err != nil {
		_ = level.Debug(l.log).Log("msg", event.ReplyNotSent, "method", header.GetMethod(), "to", string(from), "err", err)
		return false
	}
	return true
}

// runHandler runs the handler of a call and returns its reply. A panic of the handler ends
// only the call.
func (l *Links) runHandler(ctx context.Context, from ident.InstanceID, header *CallHeader) (reply *Reply) {
	h := l.handlerFor(header.GetMethod())
	if h == nil {
		return failureReply(fault.New(fault.NotFound, "unknown method %s", header.GetMethod()))
	}
	if err := l.contain(header.GetMethod(), func() { reply = callHandler(ctx, h, from, header) }); err != nil {
		return failureReply(err)
	}
	return reply
}

// callHandler calls the handler of a call and encodes its reply.
func callHandler(ctx context.Context, h link.Handler, from ident.InstanceID, header *CallHeader) *Reply {
	resp, err := h(ctx, from, header.GetPayload())
	if err != nil {
		return failureReply(err)
	}
	payload, err := proto.Marshal(resp)
	if err != nil {
		return failureReply(fault.Wrap(err, fault.Internal, "cannot encode the reply of %s", header.GetMethod()))
	}
	return &Reply{Payload: payload}
}

// failureReply returns a reply that carries err.
func failureReply(err error) *Reply {
	e := fault.From(err)
	f := &Failure{Kind: int32(e.Kind), Ran: int32(e.Ran), Message: e.Message}
	if !e.RetryAfter.IsZero() {
		f.RetryAfterUs = max(1, time.Until(e.RetryAfter).Microseconds())
	}
	return &Reply{Failure: f}
}

// maxRetryAfter bounds the time until a retry in a Failure.
const maxRetryAfter = time.Hour

// failureError returns the error that a Failure encodes. A kind that this version does not
// define becomes Internal, and an undefined Ran becomes MayHaveRun.
func failureError(f *Failure) error {
	kind := fault.Kind(f.GetKind())
	if !slices.Contains(fault.Kinds(), kind) {
		kind = fault.Internal
	}
	ran := fault.Ran(f.GetRan())
	if ran < fault.NotRun || ran > fault.DidRun {
		ran = fault.MayHaveRun
	}
	e := fault.New(kind, "%s", f.GetMessage()).WithRan(ran)
	if f.GetRetryAfterUs() > 0 {
		after := time.Duration(min(f.GetRetryAfterUs(), maxRetryAfter.Microseconds())) * time.Microsecond
		e = e.WithRetryAfter(time.Now().Add(after))
	}
	return e
}
