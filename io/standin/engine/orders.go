package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/io/standin/control"
)

// OrderKind is what an order asks for.
type OrderKind int

//go:generate stringer -type=OrderKind -linecomment -output=orders_string.go

// The kinds of orders.
const (
	LoadModel   OrderKind = iota // load_model
	LoadAdapter                  // load_adapter
	SetVersion                   // set_version
	SetRole                      // set_role
)

// MarshalText implements encoding.TextMarshaler.
func (k OrderKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *OrderKind) UnmarshalText(text []byte) error {
	return decodeEnum(k, LoadModel, SetRole, text)
}

// OrderRequest is the body of POST /orders.
type OrderRequest struct {
	OrderID string      `json:"order_id"`
	Fencing ident.Epoch `json:"fencing"`
	Kind    OrderKind   `json:"kind"`
	Model   string      `json:"model"`
	Version string      `json:"version"`
	Adapter string      `json:"adapter"`
	Role    Role        `json:"role"`
}

// OrderAnswer is the answer to an order that was done.
type OrderAnswer struct {
	OrderID string `json:"order_id"`
	Done    bool   `json:"done"`
}

// StaleAnswer is the answer to an order with an old fencing number.
type StaleAnswer struct {
	Error   string      `json:"error"`
	Fencing ident.Epoch `json:"fencing"`
}

// ModelState is one model that the engine has loaded.
type ModelState struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// StateAnswer is the answer to GET /state.
type StateAnswer struct {
	Role    Role         `json:"role"`
	Models  []ModelState `json:"models"`
	Fencing ident.Epoch  `json:"fencing"`
}

// OrderRecord is all that is known of one order.
type OrderRecord struct {
	OrderRequest
	ReceivedUnixMS int64 `json:"ReceivedUnixMS"`
	EffectUnixMS   int64 `json:"EffectUnixMS"` // 0 when it had no effect.
	Refused        bool  `json:"Refused"`
	Stale          bool  `json:"Stale"`       // It took effect after a higher fencing number had come.
	Overlapping    bool  `json:"Overlapping"` // It ran while an order with another fencing number did.
}

// orderBook holds what orders change, and the orders.
type orderBook struct {
	checks bool
	any    bool // Every model is served.

	mu       sync.Mutex
	role     Role
	models   []ModelState
	highest  ident.Epoch
	underWay map[*OrderRecord]bool
	records  []*OrderRecord
}

// errStale says that an order has an old fencing number.
var errStale = errors.New("stale fencing number")

// newOrderBook returns the state that the settings give.
func newOrderBook(cfg config) *orderBook {
	return &orderBook{
		checks:   cfg.checksFencing,
		any:      len(cfg.models) == 0,
		role:     cfg.role,
		models:   slices.Clone(cfg.models),
		underWay: make(map[*OrderRecord]bool),
	}
}

// serves reports whether a model is loaded.
func (b *orderBook) serves(model string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.any || b.find(model) >= 0
}

// find returns the index of a model, or -1.
func (b *orderBook) find(model string) int {
	return slices.IndexFunc(b.models, func(m ModelState) bool { return m.Name == model })
}

// roleNow returns the role.
func (b *orderBook) roleNow() Role {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.role
}

// state returns what GET /state answers.
func (b *orderBook) state() StateAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return StateAnswer{Role: b.role, Models: cloneModels(b.models), Fencing: b.highest}
}

// cloneModels returns a deep copy.
func cloneModels(models []ModelState) []ModelState {
	copied := make([]ModelState, 0, len(models))
	for _, m := range models {
		m.Adapters = append([]string{}, m.Adapters...)
		copied = append(copied, m)
	}
	return copied
}

// begin takes an order, or refuses it.
func (b *orderBook) begin(request OrderRequest, now time.Time) (*OrderRecord, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	record := &OrderRecord{OrderRequest: request, ReceivedUnixMS: now.UnixMilli()}
	b.records = append(b.records, record)
	if b.checks && request.Fencing < b.highest {
		record.Refused = true
		return record, errStale
	}
	b.highest = max(b.highest, request.Fencing)
	for other := range b.underWay {
		if other.Fencing != request.Fencing {
			other.Overlapping = true
			record.Overlapping = true
		}
	}
	b.underWay[record] = true
	return record, nil
}

// finish lets an order take effect. An engine that checks fencing numbers
// refuses it here too, when a higher one has come meanwhile.
func (b *orderBook) finish(record *OrderRecord, now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.underWay, record)
	stale := record.Fencing < b.highest
	if stale && b.checks {
		record.Refused = true
		return errStale
	}
	record.Stale = stale
	record.EffectUnixMS = now.UnixMilli()
	b.apply(record.OrderRequest)
	return nil
}

// apply changes the state as an order says. The caller holds the lock.
func (b *orderBook) apply(request OrderRequest) {
	if request.Kind == SetRole {
		b.role = request.Role
		return
	}
	at := b.find(request.Model)
	if at < 0 {
		b.models = append(b.models, ModelState{Name: request.Model, Adapters: []string{}})
		at = len(b.models) - 1
	}
	m := &b.models[at]
	if request.Kind != LoadAdapter {
		m.Version = request.Version
		return
	}
	if !slices.Contains(m.Adapters, request.Adapter) {
		m.Adapters = append(m.Adapters, request.Adapter)
	}
}

// recorded returns all orders.
func (b *orderBook) recorded() []OrderRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	records := make([]OrderRecord, 0, len(b.records))
	for _, r := range b.records {
		records = append(records, *r)
	}
	return records
}

// handleOrder serves POST /orders.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var request OrderRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		control.WriteJSON(w, http.StatusBadRequest, ErrorAnswer{Error: err.Error()})
		return
	}
	record, err := e.orders.begin(request, time.Now())
	if err == nil {
		e.server.Sleep(e.duration(e.cfg.orderTime))
		err = e.orders.finish(record, time.Now())
	}
	if err != nil {
		answer := StaleAnswer{Error: err.Error(), Fencing: e.orders.state().Fencing}
		control.WriteJSON(w, http.StatusConflict, answer)
		return
	}
	control.WriteJSON(w, http.StatusOK, OrderAnswer{OrderID: request.OrderID, Done: true})
}

// handleState serves GET /state.
func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, e.orders.state())
}

// ConflictingOrders returns the orders that took effect after a higher fencing
// number had come, or that ran while another one with another number did, if
// both took effect. One that the engine refused in the end has done nothing.
func (r Record) ConflictingOrders() []OrderRecord {
	var found []OrderRecord
	for i, o := range r.Orders {
		if o.Stale || slices.ContainsFunc(r.Orders, o.conflicts) {
			found = append(found, r.Orders[i])
		}
	}
	return found
}

// conflicts reports whether two orders with different fencing numbers ran at
// once and neither was refused. One without an effect yet may still have it.
func (o OrderRecord) conflicts(other OrderRecord) bool {
	if o.Fencing == other.Fencing || o.Refused || other.Refused {
		return false
	}
	return o.startedDuring(other) || other.startedDuring(o)
}

// startedDuring reports whether an order came while another one ran.
func (o OrderRecord) startedDuring(other OrderRecord) bool {
	over := other.EffectUnixMS > 0 && other.EffectUnixMS <= o.ReceivedUnixMS
	return other.ReceivedUnixMS <= o.ReceivedUnixMS && !over
}
