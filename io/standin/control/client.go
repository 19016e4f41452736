package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// clientTimeout bounds one request to a control server.
const clientTimeout = 10 * time.Second

// Client sends requests to the control server of a stand-in (a simulated server
// for tests), which may run in another process.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client of the control server at address, such as
// "127.0.0.1:8081".
func NewClient(address string) *Client {
	return &Client{baseURL: "http://" + address, httpClient: &http.Client{Timeout: clientTimeout}}
}

// Inject activates a fault in the stand-in.
func (c *Client) Inject(ctx context.Context, f Fault) error {
	return c.Post(ctx, "/control/fault", f)
}

// Clear removes all faults of the given kinds, or all faults if kinds is empty.
func (c *Client) Clear(ctx context.Context, kinds ...Kind) error {
	return c.Post(ctx, "/control/clear", ClearRequest{Kinds: kinds})
}

// Received reports whether the stand-in received text within one connection to the
// address of the simulated protocol.
func (c *Client) Received(ctx context.Context, text string) (SearchResult, error) {
	var result SearchResult
	err := c.Get(ctx, "/control/seen?text="+url.QueryEscape(text), &result)
	return result, err
}

// Record decodes what the stand-in has recorded into target, a pointer to the
// Record type of its package.
func (c *Client) Record(ctx context.Context, target any) error {
	return c.Get(ctx, "/control/record", target)
}

// Get requests path and decodes the JSON response into target.
func (c *Client) Get(ctx context.Context, path string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return err
	}
	return c.do(request, target)
}

// Post sends body as JSON to path and ignores the body of the response.
func (c *Client) Post(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	return c.do(request, nil)
}

// do sends a request and decodes the JSON response into target, unless target is
// nil. Any status other than 200 is an error.
func (c *Client) do(request *http.Request, target any) error {
	response, err := c.httpClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("%s %s: %s: %s", request.Method, request.URL.Path, response.Status, bytes.TrimSpace(text))
	}
	if target == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(target)
}
