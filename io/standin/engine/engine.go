// Package engine is a stand-in for a model engine that serves prefill or
// decode. It has the times, limits and failures of an engine, but no model: its
// answers are a function of the prompt.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"monsoonfork/io/standin/control"
)

// Engine is the stand-in.
type Engine struct {
	cfg       config
	server    *control.Server
	admission *queue // Slots and memory.
	compute   *queue // The prefill processor: one prompt at a time.
	egress    *link
	ingress   *link
	cache     *prefixCache
	client    *http.Client

	mu       sync.Mutex
	works    map[string]*work // By attempt id.
	records  []*RequestRecord
	orders   *orderBook
	reported LoadAnswer
	counts   Counts
}

// New returns an engine that is not started.
func New(options ...Option) *Engine {
	cfg := defaultConfig()
	for _, option := range options {
		option(&cfg)
	}
	// Bytes a second of real time: a time scale of a half doubles the rate.
	linkRate := float64(cfg.linkBytesPerSecond) / cfg.timeScale
	e := &Engine{
		cfg:       cfg,
		server:    control.NewServer(),
		admission: newQueue(cfg.slots, cfg.pieces),
		compute:   newQueue(1, 0),
		egress:    newLink(linkRate),
		ingress:   newLink(linkRate),
		cache:     newPrefixCache(cfg.cacheBlocks, scale(cfg.eventLag, cfg.timeScale), cfg.eventGaps, cfg.seed),
		client:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		works:     make(map[string]*work),
		orders:    newOrderBook(cfg),
	}
	e.server.HandleControl("GET /control/record", e.handleRecord)
	return e
}

// Start begins to serve.
func (e *Engine) Start() error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.handleCompletions)
	mux.HandleFunc("GET /v1/kv/{id}", e.handleKV)
	mux.HandleFunc("POST /abort_request", e.handleAbort)
	mux.HandleFunc("GET /requests", e.handleRequests)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("GET /kv_events", e.handleEvents)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("GET /state", e.handleState)
	e.report(time.Now())
	if err := e.server.Start(e.cfg.addresses, mux); err != nil {
		return err
	}
	e.server.Go(e.reportLoad)
	return nil
}

// Close ends the engine and waits for its requests.
func (e *Engine) Close() error { return e.server.Close() }

// Address returns the address that serves.
func (e *Engine) Address() string { return e.server.Address() }

// ControlAddress returns the address that takes commands.
func (e *Engine) ControlAddress() string { return e.server.ControlAddress() }

// Inject makes a fault active.
func (e *Engine) Inject(f control.Fault) error { return e.server.Inject(f) }

// Clear ends all faults of the kinds given, or all when none is given.
func (e *Engine) Clear(kinds ...control.Kind) { e.server.Faults.Clear(kinds...) }

// Seen reports whether text was ever received.
func (e *Engine) Seen(text string) control.SeenAnswer { return e.server.Seen.Search(text) }

// scale returns d times factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// duration returns how long something takes that takes d on a healthy engine.
func (e *Engine) duration(d time.Duration) time.Duration {
	return scale(d, e.cfg.timeScale*e.server.Faults.Slowness())
}

// reportLoad takes a new load report from time to time until ctx ends.
func (e *Engine) reportLoad(ctx context.Context) {
	interval := max(scale(e.cfg.loadLag, e.cfg.timeScale), time.Millisecond)
	for sleep(ctx, interval) == nil {
		e.report(time.Now())
	}
}

// report takes a load report.
func (e *Engine) report(now time.Time) {
	running, waiting, used := e.admission.state()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reported = LoadAnswer{
		Running:        running,
		Waiting:        waiting,
		Slots:          e.cfg.slots,
		PiecesUsed:     used,
		Pieces:         e.cfg.pieces,
		ReportedUnixMS: now.UnixMilli(),
	}
}
