package engine

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
	"monsoonfork/io/httpcall"
)

// fuzzAnswers are bodies of answers to queries of an engine.
var fuzzAnswers = []string{
	`{"requests":[{"rid":"a.1","holder":"h","pieces":3}]}`, `{"requests":[null,{},{"pieces":-1},{"pieces":9223372036854775807}]}`, `{"requests":null}`, `{"requests":[7]}`,
	`{"running":1,"waiting":2,"slots":3,"pieces_used":4,"reported_unix_ms":5}`, `{"running":-1}`, `{"running":9223372036854775807,"waiting":1}`, `{"running":1e400}`,
	`{"pieces_used":-1}`, `{"pieces_used":1000000001}`, `{"slots":-1}`, `{"reported_unix_ms":9223372036854775807}`, `{"reported_unix_ms":-9223372036854775808}`,
	`{"events":[{"seq":1,"type":"stored","block_hashes":["x"]}],"last":1}`, `{"events":[{"seq":-9223372036854775808}],"last":9223372036854775807}`, `{"events":[null],"last":-1}`,
	`{}`, `null`, `[]`, ``, "\xff", `{"requests":` + strings.Repeat("[", 20_000),
}

// queriedEngine is an engine that answers each call with the same body.
type queriedEngine struct {
	client  *Client
	address ident.Address
	body    string
}

// newQueriedEngine starts an engine without a body.
func newQueriedEngine(t testing.TB) *queriedEngine {
	t.Helper()
	calls, err := httpcall.New()
	if err != nil {
		t.Fatal(err)
	}
	e := &queriedEngine{client: New(calls, "h")}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(e.body)))
		_, _ = fmt.Fprint(w, e.body)
	}))
	e.address = ident.Address(strings.TrimPrefix(server.URL, "http://"))
	t.Cleanup(func() {
		calls.Close()
		server.Close()
	})
	return e
}

// TestLoadOutOfRangeIsBroken guards against a load report whose counts overflow when they are
// added, so that a full engine counts as idle.
func TestLoadOutOfRangeIsBroken(t *testing.T) {
	e := newQueriedEngine(t)
	for _, body := range []string{`{"running":9223372036854775807,"waiting":1}`, `{"running":-1}`, `{"waiting":-1}`, `{"pieces_used":9223372036854775807}`} {
		e.body = body
		if load, err := e.client.Load(t.Context(), e.address); !fault.Is(err, fault.AnswerBroken) {
			t.Errorf("%s: %+v, %v, want AnswerBroken", body, load, err)
		}
	}
	e.body = `{"running":8,"waiting":900,"slots":8,"pieces_used":1000}`
	if load, err := e.client.Load(t.Context(), e.address); err != nil || load.Waiting != 900 {
		t.Errorf("%s: %+v, %v", e.body, load, err)
	}
}

// FuzzQueryAnswer guards against an engine's answer to a query of its requests, load or cache
// events that panics, takes long, or has counts out of range, and checks that the next answer
// is read.
func FuzzQueryAnswer(f *testing.F) {
	for _, body := range fuzzAnswers {
		f.Add(body)
	}
	e := newQueriedEngine(f)
	f.Fuzz(func(t *testing.T, body string) {
		ctx, started := context.Background(), time.Now()
		e.body = body
		_, err := e.client.Requests(ctx, e.address)
		load, loadErr := e.client.Load(ctx, e.address)
		page, pageErr := e.client.CacheEvents(ctx, e.address, 0)
		for _, err := range []error{err, loadErr, pageErr} {
			if err != nil && !fault.Is(err, fault.AnswerBroken) {
				t.Errorf("error %v, want AnswerBroken", err)
			}
		}
		if loadErr == nil && load.Check() != nil {
			t.Errorf("load %+v", load)
		}
		page.HasGap(page.Last)
		if elapsed := time.Since(started); elapsed > shortCallTimeout {
			t.Errorf("%d bytes took %v", len(body), elapsed)
		}
		e.body = fuzzAnswers[0]
		if held, err := e.client.Requests(ctx, e.address); err != nil || len(held) != 1 {
			t.Errorf("the next answer: %+v, %v", held, err)
		}
	})
}
