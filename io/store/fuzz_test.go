package store

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
)

// fuzzAnswer is an answer of the store to every call.
type fuzzAnswer struct {
	status int
	index  string
	body   string
}

// isHTTP reports whether the index may stand in a header: other bytes are no HTTP response.
func (a fuzzAnswer) isHTTP() bool {
	return strings.IndexFunc(a.index, func(r rune) bool { return r != '\t' && (r < ' ' || r == 0x7f) }) < 0
}

// fuzzAnswers are answers of the store.
var fuzzAnswers = []fuzzAnswer{
	{200, "7", `[{"Key":"a/b","Value":"b25l","ModifyIndex":7,"Session":""}]`}, {200, "7", `[null,{},{"Key":"a/b","Value":null}]`}, {200, "7", `[{"Key":"a/b","Value":"%"}]`},
	{200, "7", `[{"ModifyIndex":-1}]`}, {200, "7", `[{"ModifyIndex":18446744073709551615}]`}, {200, "-1", "[]"}, {200, "", "[]"}, {200, "x", "[]"}, {200, "18446744073709551615", "null"},
	{200, "7", "true"}, {200, "7", " false\n"}, {200, "7", "\"true\""}, {200, "7", "1"}, {200, "7", ""}, {404, "7", ""}, {404, "7", "true"}, {500, "7", "true"}, {429, "7", "true"}, {413, "7", "false"},
	{200, "7", `{"ID":"l"}`}, {500, "7", `{"ID":"l"}`}, {404, "7", `{"ID":"l"}`}, {200, "7", `{"ID":7}`}, {201, "7", "true"}, {299, "7", `{"ID":""}`}, {200, "7", strings.Repeat("[", 20_000)}, {204, "7", "true"},
}

// fuzzCallTime bounds the time for the calls of one input.
const fuzzCallTime = 3 * time.Second

// newAnsweredClient returns a client of a store whose answer may be set.
func newAnsweredClient(f testing.TB) (*Client, *fuzzAnswer) {
	answer := &fuzzAnswer{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header()[indexHeader] = []string{answer.index}
		w.WriteHeader(answer.status)
		_, _ = fmt.Fprint(w, answer.body)
	}))
	f.Cleanup(server.Close)
	c, err := New([]ident.Address{ident.Address(strings.TrimPrefix(server.URL, "http://"))}, WithCallTimeout(300*time.Millisecond))
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = c.Close() })
	return c, answer
}

// TestUnexpectedStatusIsNoSuccess guards against an answer with another status than 200 that
// counts as a lease, or as a write that has been made or has met a conflict.
func TestUnexpectedStatusIsNoSuccess(t *testing.T) {
	c, answer := newAnsweredClient(t)
	for _, status := range []int{http.StatusCreated, http.StatusForbidden, http.StatusNotFound, http.StatusInternalServerError} {
		for _, body := range []string{"true", "false", `{"ID":"l"}`} {
			*answer = fuzzAnswer{status, "7", body}
			if l, err := c.CreateLease(t.Context(), "l", time.Second); err == nil {
				t.Errorf("%+v created %+v", *answer, l)
			}
			if got, err := c.CompareAndSwap(t.Context(), "a/b", nil, 1); got == keyvalue.Written || got == keyvalue.Conflict || err == nil {
				t.Errorf("%+v means %v, %v", *answer, got, err)
			}
		}
	}
}

// checkReads fails the test if a read succeeds with an answer that is none.
func checkReads(ctx context.Context, t *testing.T, c *Client, a fuzzAnswer) {
	t.Helper()
	l, err := c.Get(ctx, "a/b")
	if err == nil && a.status != http.StatusOK && a.status != http.StatusNotFound || err == nil && a.status == http.StatusNotFound && len(l.Entries) != 0 {
		t.Errorf("answer %+v was read as %+v", a, l)
	}
	if err != nil && !fault.Is(err, fault.StoreUnavailable) {
		t.Errorf("error %v, want StoreUnavailable", err)
	}
}

// checkWrites fails the test if a write or a lease succeeds with an answer that doesn't say so.
func checkWrites(ctx context.Context, t *testing.T, c *Client, a fuzzAnswer) {
	t.Helper()
	outcome, err := c.CompareAndSwap(ctx, "a/b", []byte("x"), 1)
	if says := a.isHTTP() && a.status == http.StatusOK && strings.TrimSpace(a.body) == "true"; (outcome == keyvalue.Written) != says {
		t.Errorf("answer %+v means %v", a, outcome)
	}
	if (err == nil) != (outcome == keyvalue.Written || outcome == keyvalue.Conflict) {
		t.Errorf("outcome %v, %v", outcome, err)
	}
	if l, err := c.CreateLease(ctx, "l", time.Second); err == nil && (a.status != http.StatusOK || l.ID == "") {
		t.Errorf("answer %+v created %+v", a, l)
	}
	if l, err := c.RenewLease(ctx, keyvalue.Lease{ID: "l", TTL: time.Second}); err == nil && a.status != http.StatusOK {
		t.Errorf("answer %+v renewed %+v", a, l)
	}
}

// FuzzAnswer guards against an answer of the store that panics the client, takes long, or counts
// as a read, a write or a lease that it isn't, and checks that the next answer is read.
func FuzzAnswer(f *testing.F) {
	for _, a := range fuzzAnswers {
		f.Add(uint16(a.status), a.index, a.body)
	}
	c, answer := newAnsweredClient(f)
	f.Fuzz(func(t *testing.T, status uint16, index, body string) {
		if status < 200 || status > 599 || strings.ContainsAny(index, "\r\n\x00") {
			return
		}
		*answer = fuzzAnswer{int(status), index, body}
		sent := *answer
		if status == http.StatusNoContent || status == http.StatusNotModified || status == http.StatusResetContent {
			sent.body = "" // Not sent with these.
		}
		ctx, started := context.Background(), time.Now()
		checkReads(ctx, t, c, sent)
		checkWrites(ctx, t, c, sent)
		if elapsed := time.Since(started); elapsed > fuzzCallTime {
			t.Errorf("%+v took %v", sent, elapsed)
		}
		*answer = fuzzAnswers[0]
		if l, err := c.Get(ctx, "a/b"); err != nil || len(l.Entries) != 1 {
			t.Errorf("the next answer: %+v, %v", l, err)
		}
	})
}
