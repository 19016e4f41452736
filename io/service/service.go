// Package service is the client for the endpoints of plain services, which are HTTP
// services other than model engines.
package service

import (
	"context"
	"time"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/ident"
	"monsoonfork/io/httpcall"
)

// connectTimeout bounds the time to connect to an endpoint.
const connectTimeout = time.Second

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
func (c *Client) Do(ctx context.Context, to ident.Address, call endpoint.ServiceCall, sink endpoint.Sink) error {
	return c.http.Do(ctx, httpcall.Call{
		Address: to,
		Method:  call.Method,
		Target:  call.Target,
		Header:  call.Header,
		Body:    call.Body,
		ID:      string(call.RequestID),
		Limits: endpoint.Limits{
			ConnectDeadline:  c.now().Add(connectTimeout),
			SendDeadline:     call.SendBy,
			ResponseDeadline: call.Deadline,
		},
	}, sink)
}
