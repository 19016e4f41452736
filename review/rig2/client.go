package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"monsoonfork/platform/wire"
)

// host is the host of all routes.
const host = "shop.example"

// client sends requests to one instance on kept channels.
type client struct {
	record  *record
	address string
	http    http.Client
}

func newClient(r *record, address string) *client {
	return &client{record: r, address: address, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}}
}

// request returns a request with its headers.
func (c *client) request(ctx context.Context, method, path, id string, timeout time.Duration, body string) (*http.Request, error) {
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, content)
	if err != nil {
		return nil, err
	}
	r.Host = host
	r.Header.Set(wire.HeaderRequestID, id)
	r.Header.Set(wire.HeaderTimeoutMS, fmt.Sprint(timeout.Milliseconds()))
	r.Header.Set(wire.HeaderCredential, "key-one")
	return r, nil
}
