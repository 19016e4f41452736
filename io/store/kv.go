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

// watchMargin is how long after the wait of a watch its answer is awaited.
const watchMargin = time.Second

// indexHeader carries the store's index of an answer.
const indexHeader = "X-Consul-Index"

// Get reads a key. A key that does not exist gives an empty listing. Errors
// have kind StoreUnavailable or CallerGone.
func (c *Client) Get(ctx context.Context, key string) (keyvalue.Listing, error) {
	return c.list(ctx, call{kind: callGet, path: kvPath(key, ""), limit: c.stageTimeout})
}

// List reads all keys that begin with prefix.
func (c *Client) List(ctx context.Context, prefix string) (keyvalue.Listing, error) {
	return c.list(ctx, call{kind: callList, path: kvPath(prefix, "recurse=true"), limit: c.stageTimeout})
}

// Watch waits until the index of key passes after, at most for wait, and reads
// it. An answer with an index not above after says that nothing changed.
func (c *Client) Watch(ctx context.Context, key string, after keyvalue.Index, wait time.Duration) (keyvalue.Listing, error) {
	query := fmt.Sprintf("index=%d&wait=%dms", after, wait.Milliseconds())
	return c.list(ctx, call{kind: callWatch, path: kvPath(key, query), limit: wait + watchMargin})
}

// list makes a read and decodes its entries.
func (c *Client) list(ctx context.Context, cl call) (keyvalue.Listing, error) {
	cl.method = http.MethodGet
	a, err := c.read(ctx, cl)
	if err != nil {
		return keyvalue.Listing{}, err
	}
	index, err := strconv.ParseUint(a.header.Get(indexHeader), 10, 64)
	if err != nil {
		return keyvalue.Listing{}, fault.Wrap(err, fault.StoreUnavailable, "the store's answer has no index")
	}
	listing := keyvalue.Listing{Index: keyvalue.Index(index)}
	switch a.status {
	case http.StatusNotFound:
		return listing, nil
	case http.StatusOK:
	default:
		return keyvalue.Listing{}, fault.New(fault.StoreUnavailable, "the store answered status %d", a.status)
	}
	if err := json.Unmarshal(a.body, &listing.Entries); err != nil {
		return keyvalue.Listing{}, fault.Wrap(err, fault.StoreUnavailable, "the store's answer is malformed")
	}
	return listing, nil
}

// CompareAndSwap writes value if the key's ModifyIndex is index; 0 means that
// the key must not exist. The error says why the outcome is Unknown or
// NotWritten, and is nil otherwise.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index keyvalue.Index) (keyvalue.Outcome, error) {
	query := fmt.Sprintf("cas=%d", index)
	return c.change(ctx, call{kind: callCompareAndSwap, method: http.MethodPut, path: kvPath(key, query), body: value})
}

// Put writes value whatever the key held before.
func (c *Client) Put(ctx context.Context, key string, value []byte) (keyvalue.Outcome, error) {
	return c.change(ctx, call{kind: callPut, method: http.MethodPut, path: kvPath(key, ""), body: value})
}

// Delete removes the key if its ModifyIndex is index.
func (c *Client) Delete(ctx context.Context, key string, index keyvalue.Index) (keyvalue.Outcome, error) {
	query := fmt.Sprintf("cas=%d", index)
	return c.change(ctx, call{kind: callDelete, method: http.MethodDelete, path: kvPath(key, query)})
}

// change makes a write that answers true or false.
func (c *Client) change(ctx context.Context, cl call) (keyvalue.Outcome, error) {
	cl.limit = c.stageTimeout
	a, sent, err := c.write(ctx, cl)
	switch {
	case !sent:
		return keyvalue.NotWritten, err
	case a != nil && refusedUntried(a.status):
		return keyvalue.NotWritten, fault.New(fault.StoreUnavailable, "the store refused the write with status %d", a.status)
	case err != nil:
		return keyvalue.Unknown, err
	}
	switch strings.TrimSpace(string(a.body)) {
	case "true":
		return keyvalue.Written, nil
	case "false":
		return keyvalue.Conflict, nil
	}
	return keyvalue.Unknown, fault.New(fault.StoreUnavailable, "the store's answer to a write is malformed")
}

// refusedUntried reports whether a status says that the store did not try the
// write: the rate limit, a value too large, or a malformed or unknown call.
func refusedUntried(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// kvPath returns the path of a key with a query.
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
