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

// CreateLease makes a lease that lapses when it is not renewed within ttl. Keys
// that it holds are deleted when it lapses.
func (c *Client) CreateLease(ctx context.Context, name string, ttl time.Duration) (keyvalue.Lease, error) {
	// The deadline counts from before the call, so that it lies before the store's.
	deadline := c.now().Add(ttl)
	body, err := json.Marshal(struct{ Name, TTL, Behavior string }{name, seconds(ttl), "delete"}) //nolint:misspell // The field is spelled so in the published protocol.
	if err != nil {
		return keyvalue.Lease{}, fault.Wrap(err, fault.Internal, "encode lease")
	}
	a, _, err := c.write(ctx, call{kind: callLeaseCreate, method: http.MethodPut, path: "/v1/session/create", body: body, limit: c.stageTimeout})
	if err != nil {
		return keyvalue.Lease{}, err
	}
	var created struct{ ID keyvalue.LeaseID }
	if err := json.Unmarshal(a.body, &created); err != nil || created.ID == "" {
		return keyvalue.Lease{}, fault.New(fault.StoreUnavailable, "the store made no lease: status %d", a.status)
	}
	return keyvalue.Lease{ID: created.ID, Deadline: deadline, TTL: ttl}, nil
}

// RenewLease returns the lease with a later deadline. Errors have kind
// NotHolder when the lease has lapsed, else StoreUnavailable or CallerGone.
func (c *Client) RenewLease(ctx context.Context, l keyvalue.Lease) (keyvalue.Lease, error) {
	deadline := c.now().Add(l.TTL)
	a, err := c.read(ctx, call{kind: callLeaseRenew, method: http.MethodPut, path: sessionPath("renew", l.ID), limit: c.stageTimeout})
	if err != nil {
		return l, err
	}
	if a.status == http.StatusNotFound {
		return l, fault.New(fault.NotHolder, "the lease has lapsed")
	}
	if a.status != http.StatusOK {
		return l, fault.New(fault.StoreUnavailable, "the store answered status %d to a renewal", a.status)
	}
	l.Deadline = deadline
	return l, nil
}

// DestroyLease ends a lease. A lease that has lapsed already is no error.
func (c *Client) DestroyLease(ctx context.Context, id keyvalue.LeaseID) error {
	a, err := c.read(ctx, call{kind: callLeaseDestroy, method: http.MethodPut, path: sessionPath("destroy", id), limit: c.stageTimeout})
	if err != nil {
		return err
	}
	if a.status != http.StatusOK && a.status != http.StatusNotFound {
		return fault.New(fault.StoreUnavailable, "the store answered status %d to the end of a lease", a.status)
	}
	return nil
}

// Acquire writes value and locks the key under a lease, if no other holds it.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, id keyvalue.LeaseID) (keyvalue.Outcome, error) {
	query := "acquire=" + url.QueryEscape(string(id))
	return c.change(ctx, call{kind: callAcquire, method: http.MethodPut, path: kvPath(key, query), body: value})
}

// Release writes value and unlocks the key, if the lease holds it.
func (c *Client) Release(ctx context.Context, key string, value []byte, id keyvalue.LeaseID) (keyvalue.Outcome, error) {
	query := "release=" + url.QueryEscape(string(id))
	return c.change(ctx, call{kind: callRelease, method: http.MethodPut, path: kvPath(key, query), body: value})
}

// sessionPath returns the path of a call on a session.
func sessionPath(verb string, id keyvalue.LeaseID) string {
	return "/v1/session/" + verb + "/" + url.PathEscape(string(id))
}

// seconds writes a duration as the store reads it.
func seconds(d time.Duration) string { return fmt.Sprintf("%gs", d.Seconds()) }
