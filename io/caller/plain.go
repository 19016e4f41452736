package caller

import (
	"net/http"
	"strconv"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/fault"
	"monsoonfork/core/request"
	"monsoonfork/io/httpcall"
)

const (
	// maxBufferedBytes is how much of a response is buffered before any of it is sent,
	// so that an endpoint that fails within it still yields a regular error response.
	maxBufferedBytes = 256 << 10
	// maxIdempotencyKeyBytes is the maximum length of an Idempotency-Key.
	maxIdempotencyKeyBytes = 255
)

// handlePlainCall forwards a call to a plain service.
func (x *exchange) handlePlainCall(c credential, body []byte) error {
	target, err := c.forwardTarget(x.req.URL)
	if err != nil {
		return err
	}
	key, err := idempotencyKey(x.req.Header, c)
	if err != nil {
		return err
	}
	res := &plainResponse{exchange: x}
	err = x.session.Forward(request.ServiceCall{
		Method:         x.req.Method,
		Target:         target,
		Header:         c.forwardHeaders(x.req),
		Body:           body,
		IdempotencyKey: key,
	}, endpoint.Sink{OnHead: res.onHead, OnBody: res.onBody})
	if err != nil {
		return err
	}
	return res.finish()
}

// idempotencyKey returns the Idempotency-Key of a request, or "" without one.
func idempotencyKey(h http.Header, c credential) (string, error) {
	values := h["Idempotency-Key"]
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxIdempotencyKeyBytes {
		return "", fault.New(fault.BadRequest, "Idempotency-Key must be one value of 1 to %d bytes", maxIdempotencyKeyBytes)
	}
	if c.foundIn(values[0]) {
		return "", fault.New(fault.BadRequest, "the API key is allowed in the Authorization header only")
	}
	return values[0], nil
}

// plainResponse forwards an endpoint's response. It buffers the first
// maxBufferedBytes.
type plainResponse struct {
	*exchange
	head     endpoint.Head
	buffered []byte
}

// onHead records the status and headers of the endpoint's response.
func (a *plainResponse) onHead(h endpoint.Head) error {
	a.head = h
	return a.checkCaller()
}

// onBody buffers or sends body data.
func (a *plainResponse) onBody(data []byte) error {
	if err := a.checkCaller(); err != nil {
		return err
	}
	if !a.started && len(a.buffered)+len(data) <= maxBufferedBytes {
		a.buffered = append(a.buffered, data...)
		return nil
	}
	if !a.started {
		a.writeHeaders(a.head.Header.Get("Content-Length"))
		if err := a.writeBody(a.buffered); err != nil {
			return err
		}
		a.buffered = nil
	}
	return a.writeBody(data)
}

// finish sends what is still buffered of a complete response.
func (a *plainResponse) finish() error {
	if a.started {
		return nil
	}
	length := strconv.Itoa(len(a.buffered))
	if a.req.Method == http.MethodHead {
		length = a.head.Header.Get("Content-Length")
	}
	a.writeHeaders(length)
	return a.writeBody(a.buffered)
}

// writeHeaders sets the status and headers of the response. Without a length the body
// is sent with chunked transfer coding.
func (a *plainResponse) writeHeaders(length string) {
	a.started = true
	h := a.w.Header()
	for name, values := range a.head.Header {
		h[name] = values
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	for _, name := range credentialHeaders {
		h.Del(name)
	}
	if length != "" && a.head.Status != http.StatusNoContent && a.head.Status != http.StatusNotModified {
		h.Set("Content-Length", length)
	}
	a.setLengthForHead()
	h.Set(httpcall.RequestIDHeader, a.responseID)
	a.setConnectionClose()
	a.w.WriteHeader(statusWithReason(a.head.Status))
}
