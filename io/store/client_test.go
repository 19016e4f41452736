package store

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
)

func newTestClient(t *testing.T, addresses ...ident.Address) *Client {
	t.Helper()
	c, err := New(addresses, WithCallTimeout(300*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// mustSwap calls CompareAndSwap and fails the test unless the outcome is want.
func mustSwap(t *testing.T, c *Client, key, value string, index keyvalue.Index, want keyvalue.Outcome) {
	t.Helper()
	got, err := c.CompareAndSwap(context.Background(), key, []byte(value), index)
	if got != want {
		t.Fatalf("CompareAndSwap(%s, %d) = %v, %v, want %v", key, index, got, err, want)
	}
}

func mustGet(t *testing.T, c *Client, key string) (keyvalue.Entry, bool) {
	t.Helper()
	l, err := c.Get(context.Background(), key)
	if err != nil {
		t.Fatalf("Get(%s): %v", key, err)
	}
	return l.FirstEntry()
}

func TestReadAndWrite(t *testing.T) {
	f := newFakeStore(t)
	c := newTestClient(t, f.address())
	if _, found := mustGet(t, c, "a/b"); found {
		t.Fatal("found a key that does not exist")
	}
	mustSwap(t, c, "a/b", "one", 0, keyvalue.Written)
	mustSwap(t, c, "a/b", "two", 0, keyvalue.Conflict)
	e, _ := mustGet(t, c, "a/b")
	if string(e.Value) != "one" {
		t.Errorf("value = %q", e.Value)
	}
	mustSwap(t, c, "a/b", "two", e.ModifyIndex, keyvalue.Written)
	mustSwap(t, c, "a/c d", strings.Repeat("x", 600_000), 0, keyvalue.Written)
	l, err := c.List(context.Background(), "a/")
	if err != nil || len(l.Entries) != 2 {
		t.Errorf("List = %d entries, %v", len(l.Entries), err)
	}
	e, _ = mustGet(t, c, "a/b")
	if o, err := c.Delete(context.Background(), "a/b", e.ModifyIndex-1); o != keyvalue.Conflict {
		t.Errorf("Delete with an old index = %v, %v", o, err)
	}
	if o, err := c.Delete(context.Background(), "a/b", e.ModifyIndex); o != keyvalue.Written {
		t.Errorf("Delete = %v, %v", o, err)
	}
	if got := c.CallCounts()["CompareAndSwap"]; got != 4 {
		t.Errorf("counted %d CompareAndSwap calls, want 4", got)
	}
}

func TestWatch(t *testing.T) {
	f := newFakeStore(t)
	c := newTestClient(t, f.address())
	mustSwap(t, c, "k", "one", 0, keyvalue.Written)
	e, _ := mustGet(t, c, "k")
	l, err := c.Watch(context.Background(), "k", e.ModifyIndex, 400*time.Millisecond)
	if err != nil || l.Index != e.ModifyIndex {
		t.Fatalf("Watch without a change = %v, %v", l.Index, err)
	}
	got := make(chan keyvalue.Listing, 1)
	go func() {
		l, _ := c.Watch(context.Background(), "k", e.ModifyIndex, 10*time.Second)
		got <- l
	}()
	mustSwap(t, c, "k", "two", e.ModifyIndex, keyvalue.Written)
	select {
	case l := <-got:
		if e, _ := l.FirstEntry(); string(e.Value) != "two" {
			t.Errorf("watched value = %q", e.Value)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the watch did not return after the change")
	}
}

func TestCancelledWatchEnds(t *testing.T) {
	f := newFakeStore(t)
	c := newTestClient(t, f.address())
	mustSwap(t, c, "k", "one", 0, keyvalue.Written)
	e, _ := mustGet(t, c, "k")
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := c.Watch(ctx, "k", e.ModifyIndex, time.Minute)
	if !fault.Is(err, fault.CallerGone) {
		t.Errorf("error = %v, want kind CallerGone", err)
	}
}

// The store loses the response to a write that took effect.
func TestLostResponseIsUnknown(t *testing.T) {
	f := newFakeStore(t)
	c := newTestClient(t, f.address())
	f.setFaults(nil, func(r *http.Request) bool { return r.Method == http.MethodPut })
	mustSwap(t, c, "k", "one", 0, keyvalue.Unknown)
	f.setFaults(nil, nil)
	if e, found := mustGet(t, c, "k"); !found || string(e.Value) != "one" {
		t.Errorf("entry = %+v, want the written value", e)
	}
	if f.index != 2 {
		t.Errorf("store index = %d, want one write only", f.index)
	}
}

func TestServerErrorIsUnknown(t *testing.T) {
	f := newFakeStore(t)
	c := newTestClient(t, f.address())
	f.setFaults(func(*http.Request) bool { return true }, nil)
	mustSwap(t, c, "k", "one", 0, keyvalue.Unknown)
}

// The store delays all responses until the end of the test.
func TestStalledStoreEndsAtCallTimeout(t *testing.T) {
	f := newFakeStore(t)
	c := newTestClient(t, f.address())
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	f.setFaults(func(*http.Request) bool { <-release; return true }, nil)
	mustSwap(t, c, "k", "one", 0, keyvalue.Unknown)
	if _, err := c.Get(context.Background(), "k"); !fault.Is(err, fault.StoreUnavailable) {
		t.Errorf("error = %v, want kind StoreUnavailable", err)
	}
}

// The store responds with status 429, which means that it did not attempt the
// write.
func TestRateLimitIsNotWritten(t *testing.T) {
	server := newStatusServer(t, http.StatusTooManyRequests)
	c := newTestClient(t, server)
	mustSwap(t, c, "k", "one", 0, keyvalue.NotWritten)
	if _, err := c.Get(context.Background(), "k"); !fault.Is(err, fault.StoreUnavailable) {
		t.Errorf("error = %v, want kind StoreUnavailable", err)
	}
}

func TestRefusedDialIsNotWritten(t *testing.T) {
	c := newTestClient(t, closedAddress(t))
	mustSwap(t, c, "k", "one", 0, keyvalue.NotWritten)
}

// The first address refuses connections and the second one responds.
func TestFailoverToSecondAddress(t *testing.T) {
	f := newFakeStore(t)
	c := newTestClient(t, closedAddress(t), f.address())
	mustSwap(t, c, "k", "one", 0, keyvalue.Written)
	if _, found := mustGet(t, c, "k"); !found {
		t.Error("the written key was not found")
	}
}

// A proxy drops the bytes that the client sends on the open connections, while new
// connections work.
func TestStalledConnection(t *testing.T) {
	f := newFakeStore(t)
	var accepted atomic.Int64
	var stalled atomic.Int64
	proxy := newProxy(t, f.address(), func() func() bool {
		number := accepted.Add(1)
		return func() bool { return number <= stalled.Load() }
	})
	c := newTestClient(t, proxy)
	mustSwap(t, c, "k", "one", 0, keyvalue.Written)
	if _, found := mustGet(t, c, "k"); !found {
		t.Fatal("the written key was not found")
	}
	stalled.Store(accepted.Load())
	if _, found := mustGet(t, c, "k"); !found {
		t.Error("a read after the connection stalled did not find the key")
	}
	e, _ := mustGet(t, c, "k")
	mustSwap(t, c, "k", "two", e.ModifyIndex, keyvalue.Written)
}

func TestLease(t *testing.T) {
	f := newFakeStore(t)
	start := time.Now()
	c := newTestClient(t, f.address())
	ctx := context.Background()
	a, err := c.CreateLease(ctx, "orders", 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if limit := time.Now().Add(10 * time.Second); a.Deadline.After(limit) || a.Deadline.Before(start) {
		t.Errorf("deadline %v is not within the lease's time to live", a.Deadline)
	}
	b, err := c.CreateLease(ctx, "orders", 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if o, err := c.Acquire(ctx, "lock", []byte("a"), a.ID); o != keyvalue.Written {
		t.Fatalf("Acquire = %v, %v", o, err)
	}
	if o, err := c.Acquire(ctx, "lock", []byte("b"), b.ID); o != keyvalue.Conflict {
		t.Fatalf("second Acquire = %v, %v", o, err)
	}
	if a, err = c.RenewLease(ctx, a); err != nil {
		t.Errorf("RenewLease: %v", err)
	}
	if err := c.DestroyLease(ctx, a.ID); err != nil {
		t.Errorf("DestroyLease: %v", err)
	}
	if err := c.DestroyLease(ctx, a.ID); err != nil {
		t.Errorf("second DestroyLease: %v", err)
	}
	if _, err := c.RenewLease(ctx, a); !fault.Is(err, fault.NotHolder) {
		t.Errorf("renewal after the end: %v, want kind NotHolder", err)
	}
	if o, err := c.Acquire(ctx, "lock", []byte("b"), b.ID); o != keyvalue.Written {
		t.Errorf("Acquire after the end = %v, %v", o, err)
	}
}

func TestMalformedResponses(t *testing.T) {
	for _, body := range []string{"", "maybe", "[{", strings.Repeat("[", 1000)} {
		address := newRawServer(t, "HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
		c := newTestClient(t, address)
		mustSwap(t, c, "k", "one", 0, keyvalue.Unknown)
		if _, err := c.Get(context.Background(), "k"); !fault.Is(err, fault.StoreUnavailable) {
			t.Errorf("Get with response %q: %v", body, err)
		}
	}
	c := newTestClient(t, newRawServer(t, "not http at all\r\n\r\n"))
	mustSwap(t, c, "k", "one", 0, keyvalue.Unknown)
}

func TestConcurrentCallsGetTheirOwnAnswers(t *testing.T) {
	f := newFakeStore(t)
	c := newTestClient(t, f.address())
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			key := "key-" + itoa(i)
			mustSwap(t, c, key, key, 0, keyvalue.Written)
			for range 10 {
				if e, _ := mustGet(t, c, key); !bytes.Equal(e.Value, []byte(key)) {
					t.Errorf("Get(%s) = %q", key, e.Value)
				}
			}
		}()
	}
	wg.Wait()
}

// A client is closed during a long poll.
func TestCloseEndsCalls(t *testing.T) {
	f := newFakeStore(t)
	c, err := New([]ident.Address{f.address()})
	if err != nil {
		t.Fatal(err)
	}
	mustSwap(t, c, "k", "one", 0, keyvalue.Written)
	ended := make(chan error, 1)
	go func() {
		_, err := c.Watch(context.Background(), "k", 1000, time.Minute)
		ended <- err
	}()
	for c.CallCounts()["Watch"] == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if !fault.Is(err, fault.StoreUnavailable) {
			t.Errorf("error = %v, want kind StoreUnavailable", err)
		}
	case <-time.After(time.Second):
		t.Fatal("Close did not end the watch")
	}
}

func TestClosedClient(t *testing.T) {
	f := newFakeStore(t)
	c, err := New([]ident.Address{f.address()})
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	mustSwap(t, c, "k", "one", 0, keyvalue.NotWritten)
	if _, err := New(nil); !fault.Is(err, fault.BadSettings) {
		t.Errorf("New without addresses: %v", err)
	}
}

// closedAddress returns an address on which no process listens.
func closedAddress(t *testing.T) ident.Address {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ident.Address(ln.Addr().String())
}
