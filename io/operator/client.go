package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"monsoonfork/core/config"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/io/http1"
)

// clientTimeout is the timeout of one call. It is longer than the server's timeout
// for applying a text (applyTimeout, 10 s), so that the server's error arrives.
const clientTimeout = 15 * time.Second

// Client calls the operator address of one daemon.
type Client struct {
	address ident.Address
	http    http.Client
}

// NewClient returns a client for an operator address.
func NewClient(address ident.Address) *Client {
	return &Client{address: address, http: http.Client{
		Timeout:   clientTimeout,
		Transport: http1.NewTransport(&http.Transport{DisableKeepAlives: true}),
	}}
}

// Status returns the status of the instance, which includes the revision in force
// at each instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return getJSON[Status](ctx, c, "/status")
}

// Dump returns the state of the process's roles as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	return getJSON[json.RawMessage](ctx, c, "/dump")
}

// Text returns the configuration text in force at the instance, with its revision.
func (c *Client) Text(ctx context.Context) ([]byte, ident.Revision, error) {
	body, header, err := c.call(ctx, http.MethodGet, "/text", nil)
	if err != nil {
		return nil, 0, err
	}
	revision, err := strconv.ParseInt(header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return nil, 0, fault.Wrap(err, fault.Internal, "the response has no valid revision header")
	}
	return body, ident.Revision(revision), nil
}

// Plan returns the changes that a configuration text would make.
func (c *Client) Plan(ctx context.Context, raw []byte) (Plan, error) {
	body, _, err := c.call(ctx, http.MethodPost, "/plan", raw)
	if err != nil {
		return Plan{}, err
	}
	return decodeJSON[Plan](body)
}

// Apply makes a configuration text the revision after base. If no response arrives,
// the error has kind OutcomeUnknown, and the same call with the same edit id
// returns the outcome.
func (c *Client) Apply(ctx context.Context, raw []byte, base ident.Revision, editID string) (config.ApplyResult, error) {
	query := url.Values{"base": {strconv.FormatInt(int64(base), 10)}, "edit": {editID}}
	body, _, err := c.call(ctx, http.MethodPost, "/apply?"+query.Encode(), raw)
	if fault.Is(err, fault.PeerUnavailable) && fault.From(err).Ran != fault.NotRun {
		return config.ApplyResult{}, fault.Wrap(err, fault.OutcomeUnknown, "edit %s may have been accepted; apply it again with the same edit id", editID)
	}
	if err != nil {
		return config.ApplyResult{}, err
	}
	return decodeJSON[config.ApplyResult](body)
}

// getJSON makes a GET request and decodes its response.
func getJSON[T any](ctx context.Context, c *Client, path string) (T, error) {
	body, _, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		var zero T
		return zero, err
	}
	return decodeJSON[T](body)
}

// decodeJSON decodes the body of a response.
func decodeJSON[T any](body []byte) (T, error) {
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return v, fault.Wrap(err, fault.Internal, "the response is malformed")
	}
	return v, nil
}

// call makes one call and returns the body and header of its response.
func (c *Client) call(ctx context.Context, method, path string, raw []byte) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+string(c.address)+path, bytes.NewReader(raw))
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.BadRequest, "%q is not an operator address", c.address)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.PeerUnavailable, "no answer from %s", c.address).WithRan(fault.MayHaveRun)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.PeerUnavailable, "incomplete response from %s", c.address).WithRan(fault.MayHaveRun)
	}
	if res.StatusCode != http.StatusOK {
		return nil, nil, decodeError(res.StatusCode, body)
	}
	return body, res.Header, nil
}

// maxRetryAfter bounds the time until a retry in an error response.
const maxRetryAfter = time.Hour

// decodeError converts an error response to an error.
func decodeError(status int, body []byte) error {
	var answer ErrorResponse
	if err := json.Unmarshal(body, &answer); err != nil || answer.Kind == "" {
		return fault.New(fault.Internal, "status %d: %s", status, bytes.TrimSpace(body))
	}
	for _, k := range fault.Kinds() {
		if k.String() == answer.Kind {
			message := answer.Message
			for _, p := range answer.Problems {
				message += fmt.Sprintf("\n  %s", p)
			}
			return answer.restore(fault.New(k, "%s", message))
		}
	}
	return fault.New(fault.Internal, "%s: %s", answer.Kind, answer.Message)
}

// restore returns err with what the response says of it besides kind and message. An unknown
// value of Ran becomes MayHaveRun, which promises nothing.
func (r ErrorResponse) restore(err *fault.Error) *fault.Error {
	err = err.WithRan(fault.MayHaveRun)
	for _, ran := range []fault.Ran{fault.NotRun, fault.DidRun} {
		if ran.String() == r.Ran {
			err = err.WithRan(ran)
		}
	}
	if r.RetryAfterMS > 0 {
		after := time.Duration(min(r.RetryAfterMS, maxRetryAfter.Milliseconds())) * time.Millisecond
		err = err.WithRetryAfter(time.Now().Add(after))
	}
	return err
}
