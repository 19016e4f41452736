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

// clientTimeout bounds one command.
const clientTimeout = 10 * time.Second

// Client commands a stand-in in another process.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for a control address, such as "127.0.0.1:8081".
func NewClient(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Timeout: clientTimeout}}
}

// Inject makes a fault active.
func (c *Client) Inject(ctx context.Context, f Fault) error {
	return c.Post(ctx, "/control/fault", f)
}

// Clear ends all faults of the kinds given, or all when none is given.
func (c *Client) Clear(ctx context.Context, kinds ...Kind) error {
	return c.Post(ctx, "/control/clear", ClearRequest{Kinds: kinds})
}

// Seen reports whether text was ever received.
func (c *Client) Seen(ctx context.Context, text string) (SeenAnswer, error) {
	var answer SeenAnswer
	err := c.Get(ctx, "/control/seen?text="+url.QueryEscape(text), &answer)
	return answer, err
}

// Record decodes the record of the stand-in into target.
func (c *Client) Record(ctx context.Context, target any) error {
	return c.Get(ctx, "/control/record", target)
}

// Get decodes the answer to a GET of path into target.
func (c *Client) Get(ctx context.Context, path string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return err
	}
	return c.do(request, target)
}

// Post posts body as JSON to path.
func (c *Client) Post(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	return c.do(request, nil)
}

// do sends a request and decodes the answer into target, unless it is nil.
func (c *Client) do(request *http.Request, target any) error {
	response, err := c.http.Do(request)
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
