// Package service is the client for the endpoints of plain services, which are HTTP
// services other than model engines.
package service

import (
	"context"
	"net/http"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/io/httpcall"
)

// connectTimeout bounds the time to connect to an endpoint.
const connectTimeout = time.Second

// Call is a call to a plain service. Header must contain neither the caller's API
// key nor hop-by-hop headers.
type Call struct {
	Method    string
	Target    string // Path and query.
	Header    http.Header
	Body      []byte
	RequestID ident.RequestID
	Deadline  time.Time // Deadline for the complete response.
	SendBy    time.Time // Latest time of the send; zero for no limit.
}

// Client calls plain services.
type Client struct {
	http *httpcall.Client
	now  func() time.Time
}

// New returns a client that makes its calls through calls.
func New(calls *httpcall.Client) *Client { return &Client{http: calls, now: time.Now} }

// Do makes the call once, on a new connection, and streams the response to sink. It
// does not retry. The field Ran of an error says whether the endpoint may have
// received the call.
func (c *Client) Do(ctx context.Context, to ident.Address, call Call, sink httpcall.Sink) error {
	return c.http.Do(ctx, httpcall.Call{
		Address: to,
		Method:  call.Method,
		Target:  call.Target,
		Header:  call.Header,
		Body:    call.Body,
		ID:      string(call.RequestID),
		Limits: httpcall.Limits{
			ConnectDeadline:  c.now().Add(connectTimeout),
			SendDeadline:     call.SendBy,
			ResponseDeadline: call.Deadline,
		},
	}, sink)
}
