package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/keyvalue"
)

// CreateLease creates a lease that expires if it is not renewed within ttl. The
// store deletes the keys that a lease holds when it expires.
func (c *Client) CreateLease(ctx context.Context, name string, ttl time.Duration) (keyvalue.Lease, error) {
	// The deadline is counted from before the call, so that it is never later than
	// the store's.
	deadline := c.now().Add(ttl)
	body, err := json.Marshal(struct{ Name, TTL, Behavior string }{name, formatSeconds(ttl), "delete"}) //nolint:misspell // The store's published protocol spells the field this way.
	if err != nil {
		return keyvalue.Lease{}, fault.Wrap(err, fault.Internal, "encode lease")
	}
	res, _, err := c.callOnce(ctx, request{kind: callLeaseCreate, method: http.MethodPut, path: "/v1/session/create", body: body, timeout: c.callTimeout})
	if err != nil {
		return keyvalue.Lease{}, err
	}
	var created struct{ ID keyvalue.LeaseID }
	if err := json.Unmarshal(res.body, &created); err != nil || created.ID == "" || res.status != http.StatusOK {
		return keyvalue.Lease{}, fault.New(fault.StoreUnavailable, "the store did not create a lease: status %d", res.status)
	}
	return keyvalue.Lease{ID: created.ID, Deadline: deadline, TTL: ttl}, nil
}

// RenewLease renews a lease and returns it with its new deadline. Errors have kind
// NotHolder if the lease has expired, and StoreUnavailable or CallerGone otherwise.
func (c *Client) RenewLease(ctx context.Context, l keyvalue.Lease) (keyvalue.Lease, error) {
	deadline := c.now().Add(l.TTL)
	res, err := c.callIdempotent(ctx, request{kind: callLeaseRenew, method: http.MethodPut, path: sessionPath("renew", l.ID), timeout: c.callTimeout})
	if err != nil {
		return l, err
	}
	if res.status == http.StatusNotFound {
		return l, fault.New(fault.NotHolder, "the lease has expired")
	}
	if res.status != http.StatusOK {
		return l, fault.New(fault.StoreUnavailable, "the store responded to a lease renewal with status %d", res.status)
	}
	l.Deadline = deadline
	return l, nil
}

// DestroyLease ends a lease. It is not an error if the lease has already expired.
func (c *Client) DestroyLease(ctx context.Context, id keyvalue.LeaseID) error {
	res, err := c.callIdempotent(ctx, request{kind: callLeaseDestroy, method: http.MethodPut, path: sessionPath("destroy", id), timeout: c.callTimeout})
	if err != nil {
		return err
	}
	if res.status != http.StatusOK && res.status != http.StatusNotFound {
		return fault.New(fault.StoreUnavailable, "the store responded to the end of a lease with status %d", res.status)
	}
	return nil
}

// Acquire writes value and locks the key under a lease, unless another lease holds
// it.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, id keyvalue.LeaseID) (keyvalue.Outcome, error) {
	query := "acquire=" + url.QueryEscape(string(id))
	return c.write(ctx, request{kind: callAcquire, method: http.MethodPut, path: kvPath(key, query), body: value})
}

// Release writes value and unlocks the key if the lease holds it.
func (c *Client) Release(ctx context.Context, key string, value []byte, id keyvalue.LeaseID) (keyvalue.Outcome, error) {
	query := "release=" + url.QueryEscape(string(id))
	return c.write(ctx, request{kind: callRelease, method: http.MethodPut, path: kvPath(key, query), body: value})
}

// sessionPath returns the path of a call on a session, which is the store's term
// for a lease.
func sessionPath(verb string, id keyvalue.LeaseID) string {
	return "/v1/session/" + verb + "/" + url.PathEscape(string(id))
}

// formatSeconds formats a duration in seconds, as the store's protocol requires.
func formatSeconds(d time.Duration) string { return fmt.Sprintf("%gs", d.Seconds()) }
