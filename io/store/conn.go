package store

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// errNotSent marks a call that failed before any byte of it left.
var errNotSent = errors.New("not sent")

// isNotSent reports whether a call failed before any byte of it left.
func isNotSent(err error) bool { return errors.Is(err, errNotSent) }

// conn is a connection that carries one call at a time.
type conn struct {
	address   ident.Address
	client    *nbhttp.ClientConn
	dialed    atomic.Bool
	dead      atomic.Bool
	idleUntil time.Time
}

// received is what the connection's handler gets.
type received struct {
	answer *answer
	err    error
}

// exchange sends a call and waits for its answer.
func (c *Client) exchange(ctx context.Context, cl call, address ident.Address, fresh bool) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.limit)
	defer cancel()
	req, err := http.NewRequest(cl.method, "http://"+string(address)+cl.path, bytes.NewReader(cl.body))
	if err != nil {
		return nil, fault.Wrap(errors.Join(errNotSent, err), fault.Internal, "malformed store call")
	}
	cn, err := c.take(ctx, address, fresh)
	if err != nil {
		return nil, err
	}
	defer c.underWay.Done()
	done := make(chan received, 1)
	// Do dials on this goroutine, within the limit of the context.
	cn.client.Do(req, func(res *http.Response, _ net.Conn, err error) {
		select {
		case done <- readAnswer(res, err):
		default:
		}
	})
	select {
	case r := <-done:
		return c.finish(ctx, cn, r)
	case <-ctx.Done():
		c.drop(cn)
		return nil, unavailable(ctx, cn, ctx.Err())
	}
}

// finish keeps or drops the connection after an answer or a failure.
func (c *Client) finish(ctx context.Context, cn *conn, r received) (*answer, error) {
	if r.err != nil {
		c.drop(cn)
		return nil, unavailable(ctx, cn, r.err)
	}
	if r.answer.header.Get("Connection") == "close" {
		c.drop(cn)
		return r.answer, nil
	}
	c.put(cn)
	return r.answer, nil
}

// readAnswer copies an answer, whose buffers belong to nbhttp after the handler.
func readAnswer(res *http.Response, err error) received {
	if err != nil {
		return received{err: err}
	}
	a := &answer{status: res.StatusCode, header: res.Header.Clone()}
	if res.Body != nil {
		a.body, err = io.ReadAll(res.Body)
	}
	return received{answer: a, err: err}
}

// unavailable returns the error of a failed call.
func unavailable(ctx context.Context, cn *conn, err error) error {
	if !cn.dialed.Load() {
		err = errors.Join(errNotSent, err)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return fault.Wrap(err, fault.CallerGone, "store call cancelled")
	}
	return fault.Wrap(err, fault.StoreUnavailable, "the store at %s does not answer", cn.address)
}

// take returns an idle connection to address, or a new one that dials within
// the context when it is first used. It counts a call under way, which the
// caller ends.
func (c *Client) take(ctx context.Context, address ident.Address, fresh bool) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, fault.Wrap(errNotSent, fault.StoreUnavailable, "the store client is closed")
	}
	c.underWay.Add(1)
	if !fresh {
		if cn := c.takeIdle(address); cn != nil {
			return cn, nil
		}
	}
	cn := &conn{address: address}
	cn.client = &nbhttp.ClientConn{Engine: c.engine, Dial: func(network, _ string) (net.Conn, error) {
		dialer := net.Dialer{Timeout: c.dialLimit}
		raw, err := dialer.DialContext(ctx, network, string(address))
		cn.dialed.Store(err == nil)
		return raw, err
	}}
	cn.client.OnClose(func() { cn.dead.Store(true) })
	c.open[cn] = struct{}{}
	return cn, nil
}

// takeIdle returns the idle connection to address that was used last, and
// closes those that are too old. The caller holds mu.
func (c *Client) takeIdle(address ident.Address) *conn {
	now := c.now()
	var found *conn
	kept := c.idle[:0]
	for i := len(c.idle) - 1; i >= 0; i-- {
		cn := c.idle[i]
		switch {
		case cn.dead.Load() || now.After(cn.idleUntil):
			c.closeLater(cn)
		case found == nil && cn.address == address:
			found = cn
		default:
			kept = append(kept, cn)
		}
	}
	c.idle = reversed(kept)
	return found
}

// put keeps a connection for later calls.
func (c *Client) put(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || cn.dead.Load() || len(c.idle) >= maxIdle {
		c.closeLater(cn)
		return
	}
	cn.idleUntil = c.now().Add(idleLimit)
	c.idle = append(c.idle, cn)
}

// closeLater forgets a connection and closes it without waiting. The caller
// holds mu.
func (c *Client) closeLater(cn *conn) {
	delete(c.open, cn)
	go cn.client.Close()
}

// drop forgets a connection and closes it.
func (c *Client) drop(cn *conn) {
	c.mu.Lock()
	delete(c.open, cn)
	c.mu.Unlock()
	cn.client.Close()
}

// reversed returns the connections in the opposite order.
func reversed(list []*conn) []*conn {
	out := make([]*conn, len(list))
	for i, cn := range list {
		out[len(list)-1-i] = cn
	}
	return out
}
