// Package engine speaks to model engines: prefill, decode, abort, listings and
// orders, as docs/PROTOCOLS.md has them.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/io/httpcall"
)

// HolderHeader names the daemon process that started a request at an engine.
const HolderHeader = "X-Holder"

const (
	// connectTimeout bounds the connection to an engine.
	connectTimeout = time.Second
	// listTimeout bounds the short calls: listings, loads, aborts.
	listTimeout = 2 * time.Second
	// maxErrorBytes is how much of an error answer is kept.
	maxErrorBytes = 4 << 10
)

// Client speaks to the engines for one daemon process.
type Client struct {
	http    *httpcall.Client
	holder  ident.InstanceID
	now     func() time.Time
	aborted metrics.Counter // Aborts that an engine acknowledged.
	unheard metrics.Counter // Aborts given up without an acknowledgement.
}

// Option configures a Client.
type Option func(*Client)

// WithMetrics sets the registry that the client's metrics go to.
func WithMetrics(r metrics.Registry) Option {
	return func(c *Client) { c.register(r) }
}

// New returns a client that calls in the name of holder.
func New(calls *httpcall.Client, holder ident.InstanceID, opts ...Option) *Client {
	c := &Client{http: calls, holder: holder, now: time.Now}
	c.register(metrics.NewRegistry())
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// register registers the metrics in r.
func (c *Client) register(r metrics.Registry) {
	c.aborted = metrics.GetOrRegisterCounter("Engine.Aborted", r)
	c.unheard = metrics.GetOrRegisterCounter("Engine.AbortsUnheard", r)
}

// completionCall returns the call of a phase of a completion.
func (c *Client) completionCall(to ident.Address, attempt string, limits httpcall.Limits, body any) (httpcall.Call, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return httpcall.Call{}, fault.Wrap(err, fault.Internal, "cannot encode the request").WithRan(fault.NotRun)
	}
	if limits.ConnectBy.IsZero() {
		limits.ConnectBy = c.now().Add(connectTimeout)
	}
	return httpcall.Call{
		Address: to,
		Method:  http.MethodPost,
		Target:  "/v1/completions",
		Header:  http.Header{"Content-Type": {"application/json"}, HolderHeader: {string(c.holder)}},
		Body:    encoded,
		ID:      attempt,
		Limits:  limits,
	}, nil
}

// shortLimits are the limits of a short call that starts now.
func (c *Client) shortLimits() httpcall.Limits {
	now := c.now()
	return httpcall.Limits{ConnectBy: now.Add(connectTimeout), WholeBy: now.Add(listTimeout)}
}

// short makes a call with a small answer and decodes it into answer.
func (c *Client) short(ctx context.Context, to ident.Address, method, target string, body, answer any, limits httpcall.Limits) error {
	call, err := c.shortCall(to, method, target, body, limits)
	if err != nil {
		return err
	}
	return c.decoded(ctx, call, answer)
}

// shortCall returns a call with a small body. It has no id: it is not an
// attempt, and engines may refuse a second call with the same id.
func (c *Client) shortCall(to ident.Address, method, target string, body any, limits httpcall.Limits) (httpcall.Call, error) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return httpcall.Call{}, fault.Wrap(err, fault.Internal, "cannot encode the call").WithRan(fault.NotRun)
		}
	}
	return httpcall.Call{
		Address: to,
		Method:  method,
		Target:  target,
		Header:  http.Header{"Content-Type": {"application/json"}, HolderHeader: {string(c.holder)}},
		Body:    encoded,
		Limits:  limits,
	}, nil
}

// decoded makes a call and decodes its answer.
func (c *Client) decoded(ctx context.Context, call httpcall.Call, answer any) error {
	whole, err := c.whole(ctx, call)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(whole, answer); err != nil {
		return fault.Wrap(err, fault.AnswerBroken, "the engine's answer is malformed")
	}
	return nil
}

// whole makes a call and returns the body of an answer with status 200.
func (c *Client) whole(ctx context.Context, call httpcall.Call) ([]byte, error) {
	var body bytes.Buffer
	var status int
	err := c.http.Do(ctx, call, httpcall.Sink{
		OnHead:  func(h httpcall.Head) error { status = h.Status; return nil },
		OnPiece: func(piece []byte) error { body.Write(piece); return nil },
	})
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, refused(status, body.Bytes())
	}
	return body.Bytes(), nil
}

// refused returns the error for an answer with another status than 200. The
// bytes of the call were sent, so that it may have run.
func refused(status int, body []byte) *fault.Error {
	var answer struct {
		Error   string      `json:"error"`
		Fencing ident.Epoch `json:"fencing"`
	}
	if len(body) > maxErrorBytes {
		body = body[:maxErrorBytes]
	}
	if json.Unmarshal(body, &answer) != nil {
		answer.Error = "no reason given"
	}
	if answer.Fencing > 0 {
		return fault.New(fault.NotHolder, "the engine has seen fencing number %d", answer.Fencing).WithRan(fault.NotRun)
	}
	return fault.New(fault.EndpointFailed, "the engine answered %d: %s", status, answer.Error)
}
