// Package engine is the client for the HTTP API of model engines: prefill,
// decode, abort, state queries and orders (docs/PROTOCOLS.md specifies it).
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/io/httpcall"
)

// HolderHeader is the header that names the daemon process that started a request
// at an engine.
const HolderHeader = "X-Holder"

const (
	// connectTimeout bounds the time to connect to an engine.
	connectTimeout = time.Second
	// shortCallTimeout bounds a call with a small response: an abort or a query of
	// requests, load, cache events or state.
	shortCallTimeout = 2 * time.Second
	// maxBodyBytes is the maximum size of a response that is not a stream.
	maxBodyBytes = 4 << 20
	// maxErrorBodyBytes is how many bytes of an error response are decoded.
	maxErrorBodyBytes = 4 << 10
)

// Client calls the engines on behalf of one daemon process.
type Client struct {
	http                 *httpcall.Client
	holder               ident.InstanceID
	now                  func() time.Time
	abortsAcknowledged   metrics.Counter // Aborts that an engine acknowledged.
	abortsUnacknowledged metrics.Counter // Aborts whose context ended before an acknowledgement.
}

// Option configures a Client.
type Option func(*Client)

// WithMetrics sets the registry of the client's metrics.
func WithMetrics(r metrics.Registry) Option {
	return func(c *Client) { c.registerMetrics(r) }
}

// New returns a client that sends holder as HolderHeader with each call.
func New(calls *httpcall.Client, holder ident.InstanceID, opts ...Option) *Client {
	c := &Client{http: calls, holder: holder, now: time.Now}
	c.registerMetrics(metrics.NewRegistry())
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Calls returns the client's calls besides completions.
func (c *Client) Calls() *engineapi.Calls {
	return &engineapi.Calls{
		State: c.State, Requests: c.Requests, Load: c.Load, CacheEvents: c.CacheEvents,
		Order: c.Order, Abort: c.Abort,
	}
}

// registerMetrics registers the client's counters in r.
func (c *Client) registerMetrics(r metrics.Registry) {
	c.abortsAcknowledged = metrics.GetOrRegisterCounter("Engine.Aborted", r)
	c.abortsUnacknowledged = metrics.GetOrRegisterCounter("Engine.AbortsUnheard", r)
}

// newCompletionCall returns the HTTP call for the prefill or decode phase of a
// completion.
func (c *Client) newCompletionCall(to ident.Address, attempt string, limits endpoint.Limits, body any) (httpcall.Call, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return httpcall.Call{}, fault.Wrap(err, fault.Internal, "cannot encode the completion request").WithRan(fault.NotRun)
	}
	if limits.ConnectDeadline.IsZero() {
		limits.ConnectDeadline = c.now().Add(connectTimeout)
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

// shortCallLimits returns the time limits of a short call that starts now.
func (c *Client) shortCallLimits() endpoint.Limits {
	now := c.now()
	return endpoint.Limits{ConnectDeadline: now.Add(connectTimeout), ResponseDeadline: now.Add(shortCallTimeout)}
}

// doShortCall makes a call with a small response and decodes it into response.
func (c *Client) doShortCall(ctx context.Context, to ident.Address, method, target string, body, response any, limits endpoint.Limits) error {
	call, err := c.newShortCall(to, method, target, body, limits)
	if err != nil {
		return err
	}
	return c.doJSON(ctx, call, response)
}

// newShortCall returns an HTTP call with an optional small JSON body. It has no
// id, because it is not an attempt and engines may refuse a second call with the
// same id.
func (c *Client) newShortCall(to ident.Address, method, target string, body any, limits endpoint.Limits) (httpcall.Call, error) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return httpcall.Call{}, fault.Wrap(err, fault.Internal, "cannot encode the call body").WithRan(fault.NotRun)
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

// doJSON makes a call and decodes its JSON response into response.
func (c *Client) doJSON(ctx context.Context, call httpcall.Call, response any) error {
	body, err := c.doBuffered(ctx, call)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, response); err != nil {
		return fault.Wrap(err, fault.AnswerBroken, "the engine's response is malformed")
	}
	return nil
}

// doBuffered makes a call and returns the whole body of a response with status
// 200. Any other status gives an error.
func (c *Client) doBuffered(ctx context.Context, call httpcall.Call) ([]byte, error) {
	var body bodyBuffer
	var status int
	err := c.http.Do(ctx, call, endpoint.Sink{
		OnHead: func(h endpoint.Head) error { status = h.Status; return nil },
		OnBody: body.add,
	})
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, statusError(status, body.data)
	}
	return body.data, nil
}

// bodyBuffer collects the body of a response that is not a stream.
type bodyBuffer struct{ data []byte }

// add appends a chunk. It returns an error if the body exceeds maxBodyBytes.
func (b *bodyBuffer) add(chunk []byte) error {
	if len(b.data)+len(chunk) > maxBodyBytes {
		return fault.New(fault.AnswerBroken, "the engine's response is larger than %d bytes", maxBodyBytes)
	}
	b.data = append(b.data, chunk...)
	return nil
}

// statusError returns the error for a response with a status other than 200. Status 409
// with a fencing number means that the engine refused the call, so it did not run; after
// any other response the call may have run, as it was sent.
func statusError(status int, body []byte) *fault.Error {
	var response struct {
		Error   string      `json:"error"`
		Fencing ident.Epoch `json:"fencing"`
	}
	if len(body) > maxErrorBodyBytes {
		body = body[:maxErrorBodyBytes]
	}
	if json.Unmarshal(body, &response) != nil {
		response.Error = "no reason given"
	}
	if status == http.StatusConflict && response.Fencing > 0 {
		return fault.New(fault.NotHolder, "the engine has seen fencing number %d", response.Fencing).WithRan(fault.NotRun)
	}
	return fault.New(fault.EndpointFailed, "the engine returned status %d: %s", status, response.Error)
}
