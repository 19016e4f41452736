package store

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// errNotSent marks a call that failed before any byte of it left.
var errNotSent = errors.New("not sent")

// isNotSent reports whether a call failed before any byte of it left.
func isNotSent(err error) bool { return errors.Is(err, errNotSent) }

// newTransport returns a pool of connections that carry one call at a time.
func newTransport(keepAlive bool) *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
		IdleConnTimeout:     idleLimit,
		MaxIdleConnsPerHost: maxIdle,
	}
}

// exchange sends a call and reads its whole answer. The call ends at its limit,
// and its connection is closed then.
func (c *Client) exchange(ctx context.Context, cl call, address ident.Address, fresh bool) (*answer, error) {
	if !c.begin() {
		return nil, fault.Wrap(errNotSent, fault.StoreUnavailable, "the store client is closed")
	}
	defer c.underWay.Done()
	ctx, cancel := context.WithTimeout(ctx, cl.limit)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	req, err := http.NewRequestWithContext(ctx, cl.method, "http://"+string(address)+cl.path, bytes.NewReader(cl.body))
	if err != nil {
		return nil, fault.Wrap(errors.Join(errNotSent, err), fault.Internal, "malformed store call")
	}
	transport := c.pooled
	if fresh {
		transport = c.fresh
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return nil, c.unavailable(ctx, address, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, c.unavailable(ctx, address, err)
	}
	if len(body) > maxAnswerBytes {
		return nil, fault.New(fault.StoreUnavailable, "the store's answer has more than %d bytes", maxAnswerBytes)
	}
	return &answer{status: res.StatusCode, header: res.Header, body: body}, nil
}

// begin counts a call under way, unless the client is closed.
func (c *Client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.underWay.Add(1)
	return true
}

// unavailable returns the error of a failed call. Only a failed dial proves
// that nothing was sent.
func (c *Client) unavailable(ctx context.Context, address ident.Address, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		err = errors.Join(errNotSent, err)
	}
	if errors.Is(ctx.Err(), context.Canceled) && c.ctx.Err() == nil {
		return fault.Wrap(err, fault.CallerGone, "store call cancelled")
	}
	// Idle connections to the same address may be as silent as this one was.
	c.pooled.CloseIdleConnections()
	return fault.Wrap(err, fault.StoreUnavailable, "the store at %s does not answer", address)
}
