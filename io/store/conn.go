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
	"monsoonfork/io/http1"
)

// errNotSent marks a call that failed before any byte of it was sent.
var errNotSent = errors.New("not sent")

// isNotSent reports whether a call failed before any byte of it was sent.
func isNotSent(err error) bool { return errors.Is(err, errNotSent) }

// newTransport returns a transport whose connections carry one call at a time and
// are reused if keepAlive is set.
func newTransport(keepAlive bool) *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdleConns,
	}
}

// roundTrip sends a request and reads the complete response. At the request's
// timeout the call ends and its connection is closed.
func (c *Client) roundTrip(ctx context.Context, r request, address ident.Address, newConn bool) (*response, error) {
	if !c.startCall() {
		return nil, fault.Wrap(errNotSent, fault.StoreUnavailable, "the store client is closed")
	}
	defer c.inFlight.Done()
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+string(address)+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, fault.Wrap(errors.Join(errNotSent, err), fault.Internal, "malformed store call")
	}
	transport := c.pooledTransport
	if newConn {
		transport = c.freshTransport
	}
	res, err := http1.NewTransport(transport).RoundTrip(req)
	if err != nil {
		return nil, c.callError(ctx, address, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return nil, c.callError(ctx, address, err)
	}
	if len(body) > maxResponseBytes {
		return nil, fault.New(fault.StoreUnavailable, "the store's response has more than %d bytes", maxResponseBytes)
	}
	return &response{status: res.StatusCode, header: res.Header, body: body}, nil
}

// startCall counts a call in progress, or returns false if the client is closed.
func (c *Client) startCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.inFlight.Add(1)
	return true
}

// callError returns the error of a failed call. Only a failed dial proves that
// nothing was sent.
func (c *Client) callError(ctx context.Context, address ident.Address, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		err = errors.Join(errNotSent, err)
	}
	if errors.Is(ctx.Err(), context.Canceled) && c.ctx.Err() == nil {
		return fault.Wrap(err, fault.CallerGone, "store call cancelled")
	}
	// Idle connections to the same address may have stalled as well.
	c.pooledTransport.CloseIdleConnections()
	return fault.Wrap(err, fault.StoreUnavailable, "the store at %s did not respond", address)
}
