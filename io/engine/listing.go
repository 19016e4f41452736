package engine

import (
	"context"
	"net/http"
	"strconv"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/ident"
)

// Requests lists the requests that an engine holds now.
func (c *Client) Requests(ctx context.Context, to ident.Address) ([]engineapi.HeldRequest, error) {
	var response struct {
		Requests []engineapi.HeldRequest `json:"requests"`
	}
	err := c.doShortCall(ctx, to, http.MethodGet, "/requests", nil, &response, c.shortCallLimits())
	return response.Requests, err
}

// Load returns an engine's newest load report.
func (c *Client) Load(ctx context.Context, to ident.Address) (engineapi.Load, error) {
	var load engineapi.Load
	if err := c.doShortCall(ctx, to, http.MethodGet, "/load", nil, &load, c.shortCallLimits()); err != nil {
		return engineapi.Load{}, err
	}
	return load, load.Check()
}

// CacheEvents returns the cache events with a sequence number above after.
func (c *Client) CacheEvents(ctx context.Context, to ident.Address, after int64) (engineapi.CacheEvents, error) {
	var page engineapi.CacheEvents
	target := "/kv_events?after=" + strconv.FormatInt(after, 10)
	err := c.doShortCall(ctx, to, http.MethodGet, target, nil, &page, c.shortCallLimits())
	return page, err
}
