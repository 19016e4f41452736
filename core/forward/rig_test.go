package forward

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// rig is a router with engines that a test writes itself.
type rig struct {
	t      *testing.T
	router *Router
	table  *engines.Table

	mu       sync.Mutex
	sent     []Call
	released []string
	freed    []string
	refunds  int
	send     func(n int, c Call, sink Sink) error // The nth call, from 1.
	prefill  func(n int, c Call) (string, error)
	reserve  func(e engines.Entry) (string, error)
}

// newRig returns a rig with two plain engines, two decode and two prefill engines.
func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, table: engines.NewTable()}
	c, err := catalog.New(catalog.Catalog{
		Version: 1,
		Services: []catalog.Service{
			{Name: "plain"}, {Name: "model", Model: &catalog.ModelPool{Slots: 4, MemoryTokens: 10_000}},
		},
		Routes: []catalog.Route{
			route("safe", catalog.Safe, "plain", 2), route("once", catalog.Once, "plain", 2),
			route("stream", catalog.Stream, "model", 1), resumable(route("resume", catalog.Stream, "model", 2)),
		},
		Organisations: []catalog.Organisation{{Name: "org", Keys: []string{"key"}, CountsTokens: true, Rate: 1, Burst: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range []engines.Entry{
		{ID: "p1", Service: "plain"}, {ID: "p2", Service: "plain"},
		{ID: "d1", Service: "model", Stage: engines.Decode}, {ID: "d2", Service: "model", Stage: engines.Decode},
		{ID: "f1", Service: "model", Stage: engines.Prefill}, {ID: "f2", Service: "model", Stage: engines.Prefill},
	} {
		e.Domain, e.Slots, e.AsOf, e.Address = "a", 4, 1, ident.Address(e.ID)
		r.table.Apply([]engines.Change{{Entry: e}})
	}
	r.router = New("a", log.LoggerFunc(r.checkLine), metrics.NewRegistry(), time.Now, Tuning{RepeatRatio: 0.2, RepeatSlack: 50, RepeatWindow: 10 * time.Second})
	r.router.Catalog = func() *catalog.Catalog { return c }
	r.router.Engines = r.table.Of
	r.router.Live = func() int { return 1 }
	r.router.Admit = func(*catalog.Organisation, ident.Tokens) Share {
		return Share{Granted: true, Refund: func() { r.refunds++ }}
	}
	r.router.Calls = r.calls()
	r.prefill = func(int, Call) (string, error) { return "handle", nil }
	r.reserve = func(engines.Entry) (string, error) { return "room", nil }
	return r
}

// checkLine checks that the table of events names the fields of a line.
func (r *rig) checkLine(keyvals ...any) error {
	i := slices.Index(keyvals, any("msg"))
	if i < 0 || i%2 != 0 {
		r.t.Errorf("a line without msg: %v", keyvals)
		return nil
	}
	e, ok := keyvals[i+1].(event.Event)
	if !ok {
		r.t.Errorf("the msg of a line is %v, not an event", keyvals[i+1])
		return nil
	}
	for k := 0; k < len(keyvals); k += 2 {
		name := fmt.Sprint(keyvals[k])
		if !slices.Contains([]string{"msg", "level", "part"}, name) && !slices.Contains(e.Describe().Fields, name) {
			r.t.Errorf("the row of %q does not name the field %s", e, name)
		}
	}
	return nil
}

// route returns a route for /NAME/ with one second.
func route(name string, k catalog.Kind, s ident.ServiceID, attempts int) catalog.Route {
	return catalog.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: k, Attempts: attempts, TimeoutMS: 1000, FirstAnswerMS: 300,
		Targets: []catalog.Target{{Service: s, Weight: 1}},
	}
}

func resumable(r catalog.Route) catalog.Route {
	r.Resumable = true
	return r
}

// calls are the seams to the rig's engines.
func (r *rig) calls() Calls {
	prefills := 0
	return Calls{
		Send: func(ctx context.Context, c Call, sink Sink) error {
			r.mu.Lock()
			r.sent = append(r.sent, c)
			n := len(r.sent)
			r.mu.Unlock()
			done := make(chan error, 1)
			g := &guarded{Sink: sink}
			go func() { done <- r.send(n, c, g.sink()) }()
			select {
			case err := <-done:
				return err
			case <-ctx.Done():
				g.end()
				return fault.From(context.Cause(ctx)).WithRan(fault.MayHaveRun)
			}
		},
		Prefill: func(_ context.Context, c Call) (string, error) {
			r.mu.Lock()
			prefills++
			n := prefills
			r.mu.Unlock()
			return r.prefill(n, c)
		},
		Free:    func(_ engines.Entry, handle string) { r.freed = append(r.freed, handle) },
		Release: func(_ engines.Entry, id string) { r.released = append(r.released, id) },
		Reserve: func(_ context.Context, e engines.Entry, _ ident.Tokens, _, _ time.Time) (string, error) {
			return r.reserve(e)
		},
	}
}

// guarded is a sink that takes nothing after the end of its call, as a real call
// does not.
type guarded struct {
	Sink
	mu    sync.Mutex
	ended bool
}

func (g *guarded) sink() Sink {
	return Sink{
		OnHead:  func(h Head) error { return g.while(func() error { return g.OnHead(h) }) },
		OnPiece: func(b []byte) error { return g.while(func() error { return g.OnPiece(b) }) },
	}
}

func (g *guarded) while(f func() error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return errBroken
	}
	return f()
}

func (g *guarded) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
}

// reply is what the caller got.
type reply struct {
	status int
	body   strings.Builder
	cut    bool
	err    error
}

// serve takes a request through the router.
func (r *rig) serve(name string) *reply { return r.serveContext(context.Background(), name) }

func (r *rig) serveContext(ctx context.Context, name string) *reply {
	return r.serveRequest(ctx, name, func(*Request) {})
}

// serveRequest takes a request that change has changed through the router.
func (r *rig) serveRequest(ctx context.Context, name string, change func(*Request)) *reply {
	got := &reply{}
	q := &Request{
		ID: "id", Method: "POST", Host: "h", Path: "/" + name + "/x", Target: "/" + name + "/x", Header: http.Header{},
		Key: "key", Received: time.Now(), Sized: true, Prompt: 100, MaxOutput: 50,
	}
	change(q)
	got.err = r.router.Serve(ctx, q, Answer{
		Begin: func(status int, _ http.Header, _ int64) { got.status = status },
		Write: func(b []byte) error { got.body.Write(b); return nil },
		Cut:   func() { got.cut = true },
	})
	return got
}

// answer gives a whole answer.
func answer(sink Sink, status int, pieces ...string) error {
	h := Head{Status: status, Header: http.Header{}, Length: -1}
	if status == http.StatusOK && len(pieces) > 0 && strings.HasPrefix(pieces[0], "id:") {
		h.Header.Set("Content-Type", "text/event-stream")
	}
	if err := sink.OnHead(h); err != nil {
		return err
	}
	for _, p := range pieces {
		if err := sink.OnPiece([]byte(p)); err != nil {
			return err
		}
	}
	return nil
}

var (
	errRefused = fault.New(fault.EndpointRefused, "full")
	errBroken  = fault.New(fault.AnswerBroken, "cut")
	errNoRoad  = fault.New(fault.EndpointFailed, "cannot connect").WithRan(fault.NotRun)
)
