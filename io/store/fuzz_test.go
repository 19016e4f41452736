package store

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
)

// fuzzAnswer is an answer of the store to every call.
type fuzzAnswer struct {
	status int
	index  string
	body   string
}

// fuzzAnswers are answers of the store.
var fuzzAnswers = []fuzzAnswer{
	{200, "7", `[{"Key":"a/b","Value":"b25l","ModifyIndex":7,"Session":""}]`}, {200, "7", `[null,{},{"Key":"a/b","Value":null}]`}, {200, "7", `[{"Key":"a/b","Value":"%"}]`},
	{200, "7", `[{"ModifyIndex":-1}]`}, {200, "7", `[{"ModifyIndex":18446744073709551615}]`}, {200, "-1", "[]"}, {200, "", "[]"}, {200, "x", "[]"}, {200, "18446744073709551615", "null"},
	{200, "7", "true"}, {200, "7", " false\n"}, {200, "7", "\"true\""}, {200, "7", "1"}, {200, "7", ""}, {404, "7", ""}, {404, "7", "true"}, {500, "7", "true"}, {429, "7", "true"}, {413, "7", "false"},
	{200, "7", `{"ID":"l"}`}, {500, "7", `{"ID":"l"}`}, {404, "7", `{"ID":"l"}`}, {200, "7", `{"ID":7}`}, {201, "7", "true"}, {299, "7", `{"ID":""}`}, {200, "7", strings.Repeat("[", 20_000)}, {204, "7", "true"},
}

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
