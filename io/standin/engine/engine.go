// Package engine simulates a model engine for prefill or decode in tests. It has the
// timing, limits and failures of an engine but no model: its completions are a
// function of the prompt.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"monsoonfork/io/standin/control"
)

// Engine is a simulated model engine.
type Engine struct {
	cfg       config
	server    *control.Server
	admission *resourceQueue // Allocates slots and memory.
	compute   *resourceQueue // Allocates the prefill processor, which computes one prompt at a time.
	egress    *link
	ingress   *link
	cache     *prefixCache
	client    *http.Client

	mu         sync.Mutex
	active     map[string]*activeRequest // By request id (X-Request-Id).
	records    []*RequestRecord
	orders     *orderState
	loadReport LoadResponse
	counts     Counts
}

// New returns an engine. Start starts it.
func New(options ...Option) *Engine {
	cfg := defaultConfig()
	for _, option := range options {
		option(&cfg)
	}
	// In bytes per second of real time: a time scale of 0.5 doubles the rate.
	linkRate := float64(cfg.linkBytesPerSecond) / cfg.timeScale
	e := &Engine{
		cfg:       cfg,
		server:    control.NewServer(),
		admission: newResourceQueue(cfg.slots, cfg.pieces),
		compute:   newResourceQueue(1, 0),
		egress:    newLink(linkRate),
		ingress:   newLink(linkRate),
		cache:     newPrefixCache(cfg.cacheBlocks, scale(cfg.eventDelay, cfg.timeScale), cfg.eventLossRate, cfg.seed),
		client:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		active:    make(map[string]*activeRequest),
		orders:    newOrderState(cfg),
	}
	e.server.HandleControl("GET /control/record", e.handleRecord)
	return e
}

// Start starts listening and serving.
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
	e.updateLoadReport(time.Now())
	if err := e.server.Start(e.cfg.addresses, mux); err != nil {
		return err
	}
	e.server.Go(e.updateLoadReports)
	return nil
}

// Close closes all connections, ends all requests and waits for them.
func (e *Engine) Close() error { return e.server.Close() }

// Address returns the address that serves the simulated protocol.
func (e *Engine) Address() string { return e.server.Address() }

// ControlAddress returns the address of the control server, which injects faults
// and returns the record.
func (e *Engine) ControlAddress() string { return e.server.ControlAddress() }

// Inject activates a fault.
func (e *Engine) Inject(f control.Fault) error { return e.server.Inject(f) }

// Clear removes all faults of the given kinds, or all faults if kinds is empty.
func (e *Engine) Clear(kinds ...control.Kind) { e.server.Faults.Clear(kinds...) }

// Received reports whether text was received within one connection to Address.
func (e *Engine) Received(text string) control.SearchResult { return e.server.Capture.Search(text) }

// scale returns d multiplied by factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// scaledDuration returns d multiplied by the time scale and by the factor of the
// fault Slow, if it is active.
func (e *Engine) scaledDuration(d time.Duration) time.Duration {
	return scale(d, e.cfg.timeScale*e.server.Faults.SlowdownFactor())
}

// updateLoadReports periodically updates the load report until ctx is done.
func (e *Engine) updateLoadReports(ctx context.Context) {
	interval := max(scale(e.cfg.loadReportInterval, e.cfg.timeScale), time.Millisecond)
	for sleep(ctx, interval) == nil {
		e.updateLoadReport(time.Now())
	}
}

// updateLoadReport replaces the load report with the current load.
func (e *Engine) updateLoadReport(now time.Time) {
	running, waiting, used := e.admission.usage()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadReport = LoadResponse{
		Running:        running,
		Waiting:        waiting,
		Slots:          e.cfg.slots,
		PiecesUsed:     used,
		Pieces:         e.cfg.pieces,
		ReportedUnixMS: now.UnixMilli(),
	}
}
