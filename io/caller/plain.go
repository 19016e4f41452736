package caller

import (
	"net/http"
	"strconv"

	"monsoonfork/core/fault"
	"monsoonfork/core/request"
	"monsoonfork/io/httpcall"
)

const (
	// heldBytes is how much of an answer is held back, so that an answer that
	// breaks early still becomes a plain error.
	heldBytes = 256 << 10
	// maxIdempotencyKeyBytes bounds an Idempotency-Key.
	maxIdempotencyKeyBytes = 255
)

// plain handles a call to a plain service.
func (x *exchange) plain(c credential, body []byte) error {
	target, err := c.target(x.r.URL)
	if err != nil {
		return err
	}
	key, err := idempotencyKey(x.r.Header, c)
	if err != nil {
		return err
	}
	answer := &plainAnswer{exchange: x}
	err = x.session.Forward(request.ServiceCall{
		Method:         x.r.Method,
		Target:         target,
		Header:         c.forward(x.r),
		Body:           body,
		IdempotencyKey: key,
	}, httpcall.Sink{OnHead: answer.onHead, OnPiece: answer.onPiece})
	if err != nil {
		return err
	}
	return answer.finish()
}

// idempotencyKey returns the Idempotency-Key of a request, or "".
func idempotencyKey(h http.Header, c credential) (string, error) {
	values := h["Idempotency-Key"]
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxIdempotencyKeyBytes {
		return "", fault.New(fault.BadRequest, "Idempotency-Key must be one value of 1 to %d bytes", maxIdempotencyKeyBytes)
	}
	if c.in(values[0]) {
		return "", fault.New(fault.BadRequest, "the key may stand in the Authorization header only")
	}
	return values[0], nil
}

// plainAnswer passes an endpoint's answer on. It holds the first bytes back.
type plainAnswer struct {
	*exchange
	head httpcall.Head
	held []byte
}

// onHead takes the head of the answer.
func (a *plainAnswer) onHead(h httpcall.Head) error {
	a.head = h
	return a.gone()
}

// onPiece takes a piece of the body.
func (a *plainAnswer) onPiece(piece []byte) error {
	if err := a.gone(); err != nil {
		return err
	}
	if !a.begun && len(a.held)+len(piece) <= heldBytes {
		a.held = append(a.held, piece...)
		return nil
	}
	if !a.begun {
		a.begin(a.head.Header.Get("Content-Length"))
		_, _ = a.w.Write(a.held)
		a.held = nil
	}
	if _, err := a.w.Write(piece); err != nil {
		return fault.Wrap(err, fault.CallerGone, "cannot write to the caller")
	}
	a.w.Flush()
	return nil
}

// finish ends a whole answer.
func (a *plainAnswer) finish() error {
	if a.begun {
		return nil
	}
	length := strconv.Itoa(len(a.held))
	if a.r.Method == http.MethodHead {
		length = a.head.Header.Get("Content-Length")
	}
	a.begin(length)
	if len(a.held) > 0 {
		_, _ = a.w.Write(a.held)
	}
	return nil
}

// begin gives the head of the answer to the library. Without a length the body
// goes out in chunks.
func (a *plainAnswer) begin(length string) {
	a.begun = true
	h := a.w.Header()
	for name, values := range a.head.Header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	for _, name := range keyHeaders {
		h.Del(name)
	}
	if length != "" && a.head.Status != http.StatusNoContent && a.head.Status != http.StatusNotModified {
		h.Set("Content-Length", length)
	}
	h.Set(httpcall.RequestIDHeader, a.shownID)
	a.markLast()
	a.w.WriteHeader(knownStatus(a.head.Status))
}
