// Package service calls the endpoints of plain services.
package service

import (
	"context"
	"net/http"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/io/httpcall"
)

// connectTimeout bounds the connection to an endpoint.
const connectTimeout = time.Second

// Call is a call to a plain service. Its headers hold neither the caller's key
// nor hop-by-hop headers.
type Call struct {
	Method   string
	Target   string // Path and query.
	Header   http.Header
	Body     []byte
	Request  ident.RequestID
	Deadline time.Time // The answer has to be whole by then.
	SendBy   time.Time // The last moment at which the call may leave; zero for none.
}

// Client calls plain services.
type Client struct {
	http *httpcall.Client
	now  func() time.Time
}

// New returns a client.
func New(calls *httpcall.Client) *Client { return &Client{http: calls, now: time.Now} }

// Do makes the call once, on a fresh connection, and streams the answer to the
// sink. It never repeats it. An error says by its Ran whether the endpoint may
// have the call.
func (c *Client) Do(ctx context.Context, to ident.Address, call Call, sink httpcall.Sink) error {
	return c.http.Do(ctx, httpcall.Call{
		Address: to,
		Method:  call.Method,
		Target:  call.Target,
		Header:  call.Header,
		Body:    call.Body,
		ID:      string(call.Request),
		Limits: httpcall.Limits{
			ConnectBy: c.now().Add(connectTimeout),
			SendBy:    call.SendBy,
			WholeBy:   call.Deadline,
		},
	}, sink)
}
