package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/keyvalue"
)

// watchMargin is added to the wait time of a watch to get its timeout.
const watchMargin = time.Second

// indexHeader is the response header with the store's index.
const indexHeader = "X-Consul-Index"

// Get reads a key. The listing is empty if the key does not exist. Errors have
// kind StoreUnavailable or CallerGone.
func (c *Client) Get(ctx context.Context, key string) (keyvalue.Listing, error) {
	return c.readEntries(ctx, request{kind: callGet, path: kvPath(key, ""), timeout: c.callTimeout})
}

// List reads all keys that begin with prefix.
func (c *Client) List(ctx context.Context, prefix string) (keyvalue.Listing, error) {
	return c.readEntries(ctx, request{kind: callList, path: kvPath(prefix, "recurse=true"), timeout: c.callTimeout})
}

// Watch waits at most for wait until the index of key is greater than after, and
// reads the key. If the returned index is not greater than after, nothing has
// changed.
func (c *Client) Watch(ctx context.Context, key string, after keyvalue.Index, wait time.Duration) (keyvalue.Listing, error) {
	query := fmt.Sprintf("index=%d&wait=%dms", after, wait.Milliseconds())
	return c.readEntries(ctx, request{kind: callWatch, path: kvPath(key, query), timeout: wait + watchMargin})
}

// readEntries makes a read request and decodes the entries of its response.
func (c *Client) readEntries(ctx context.Context, r request) (keyvalue.Listing, error) {
	r.method = http.MethodGet
	res, err := c.callIdempotent(ctx, r)
	if err != nil {
		return keyvalue.Listing{}, err
	}
	index, err := strconv.ParseUint(res.header.Get(indexHeader), 10, 64)
	if err != nil {
		return keyvalue.Listing{}, fault.Wrap(err, fault.StoreUnavailable, "the store's response has no valid index")
	}
	listing := keyvalue.Listing{Index: keyvalue.Index(index)}
	switch res.status {
	case http.StatusNotFound:
		return listing, nil
	case http.StatusOK:
	default:
		return keyvalue.Listing{}, fault.New(fault.StoreUnavailable, "the store responded with status %d", res.status)
	}
	if err := json.Unmarshal(res.body, &listing.Entries); err != nil {
		return keyvalue.Listing{}, fault.Wrap(err, fault.StoreUnavailable, "the store's response is malformed")
	}
	return listing, nil
}

// CompareAndSwap writes value if the key's ModifyIndex is index; an index of 0
// means that the key must not exist. If the outcome is Unknown or NotWritten, the
// error says why; it is nil otherwise.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index keyvalue.Index) (keyvalue.Outcome, error) {
	query := fmt.Sprintf("cas=%d", index)
	return c.write(ctx, request{kind: callCompareAndSwap, method: http.MethodPut, path: kvPath(key, query), body: value})
}

// Put writes value unconditionally.
func (c *Client) Put(ctx context.Context, key string, value []byte) (keyvalue.Outcome, error) {
	return c.write(ctx, request{kind: callPut, method: http.MethodPut, path: kvPath(key, ""), body: value})
}

// Delete removes the key if its ModifyIndex is index.
func (c *Client) Delete(ctx context.Context, key string, index keyvalue.Index) (keyvalue.Outcome, error) {
	query := fmt.Sprintf("cas=%d", index)
	return c.write(ctx, request{kind: callDelete, method: http.MethodDelete, path: kvPath(key, query)})
}

// write makes a request that changes a key. The store responds to it with true or
// false.
func (c *Client) write(ctx context.Context, r request) (keyvalue.Outcome, error) {
	r.timeout = c.callTimeout
	res, sent, err := c.callOnce(ctx, r)
	switch {
	case !sent:
		return keyvalue.NotWritten, err
	case res != nil && notAttempted(res.status):
		return keyvalue.NotWritten, fault.New(fault.StoreUnavailable, "the store refused the write with status %d", res.status)
	case err != nil:
		return keyvalue.Unknown, err
	case res.status != http.StatusOK:
		return keyvalue.Unknown, fault.New(fault.StoreUnavailable, "the store responded to a write with status %d", res.status)
	}
	switch strings.TrimSpace(string(res.body)) {
	case "true":
		return keyvalue.Written, nil
	case "false":
		return keyvalue.Conflict, nil
	}
	return keyvalue.Unknown, fault.New(fault.StoreUnavailable, "the store's response to a write is malformed")
}

// notAttempted reports whether a status means that the store did not attempt the
// write: a rate limit, a value that is too large, or a malformed or unknown call.
func notAttempted(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// kvPath returns the URL path and query for a key.
func kvPath(key, query string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	path := "/v1/kv/" + strings.Join(parts, "/")
	if query != "" {
		path += "?" + query
	}
	return path
}
