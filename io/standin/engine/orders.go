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

// OrderKind is the kind of change that an order makes to the engine.
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

// OrderRequest is the body of POST /orders. An order changes the models or the role
// of the engine. Its fencing number lets the engine reject the orders of an outdated
// sender.
type OrderRequest struct {
	OrderID string      `json:"order_id"`
	Fencing ident.Epoch `json:"fencing"`
	Kind    OrderKind   `json:"kind"`
	Model   string      `json:"model"`
	Version string      `json:"version"`
	Adapter string      `json:"adapter"`
	Role    Role        `json:"role"`
}

// OrderResponse is the response to an order that took effect.
type OrderResponse struct {
	OrderID string `json:"order_id"`
	Done    bool   `json:"done"`
}

// StaleOrderResponse is the response to an order that was rejected because an order
// with a higher fencing number was received; Fencing is the highest one.
type StaleOrderResponse struct {
	Error   string      `json:"error"`
	Fencing ident.Epoch `json:"fencing"`
}

// ModelState is one loaded model with its adapters.
type ModelState struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// StateResponse is the response to GET /state.
type StateResponse struct {
	Role    Role         `json:"role"`
	Models  []ModelState `json:"models"`
	Fencing ident.Epoch  `json:"fencing"`
}

// OrderRecord is the record of one order.
type OrderRecord struct {
	OrderRequest
	ReceivedUnixMS int64 `json:"ReceivedUnixMS"`
	EffectUnixMS   int64 `json:"EffectUnixMS"` // 0 if it has not taken effect.
	Refused        bool  `json:"Refused"`
	Stale          bool  `json:"Stale"`       // Took effect after an order with a higher fencing number was received.
	Overlapping    bool  `json:"Overlapping"` // Was executed concurrently with an order with another fencing number.
}

// orderState holds the role and models of the engine, which orders change, and the
// records of all orders.
type orderState struct {
	checksFencing  bool
	servesAnyModel bool // No models are configured; any model name is accepted.

	mu             sync.Mutex
	role           Role
	models         []ModelState
	highestFencing ident.Epoch
	inProgress     map[*OrderRecord]bool
	records        []*OrderRecord
}

// errStaleFencing means that an order with a higher fencing number was received.
var errStaleFencing = errors.New("stale fencing number")

// newOrderState returns the initial state with the configured role and models.
func newOrderState(cfg config) *orderState {
	return &orderState{
		checksFencing:  cfg.checksFencing,
		servesAnyModel: len(cfg.models) == 0,
		role:           cfg.role,
		models:         slices.Clone(cfg.models),
		inProgress:     make(map[*OrderRecord]bool),
	}
}

// serves reports whether requests for a model are accepted.
func (s *orderState) serves(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servesAnyModel || s.modelIndex(model) >= 0
}

// modelIndex returns the index of a model in models, or -1. The caller holds the
// lock.
func (s *orderState) modelIndex(model string) int {
	return slices.IndexFunc(s.models, func(m ModelState) bool { return m.Name == model })
}

// currentRole returns the role, which orders can change.
func (s *orderState) currentRole() Role {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role
}

// snapshot returns the current state as the response to GET /state.
func (s *orderState) snapshot() StateResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StateResponse{Role: s.role, Models: cloneModels(s.models), Fencing: s.highestFencing}
}

// cloneModels returns a deep copy of models.
func cloneModels(models []ModelState) []ModelState {
	copied := make([]ModelState, 0, len(models))
	for _, m := range models {
		m.Adapters = append([]string{}, m.Adapters...)
		copied = append(copied, m)
	}
	return copied
}

// begin records an order and starts its execution. If the engine checks fencing
// numbers and that of the order is stale, it returns errStaleFencing.
func (s *orderState) begin(request OrderRequest, now time.Time) (*OrderRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := &OrderRecord{OrderRequest: request, ReceivedUnixMS: now.UnixMilli()}
	s.records = append(s.records, record)
	if s.checksFencing && request.Fencing < s.highestFencing {
		record.Refused = true
		return record, errStaleFencing
	}
	s.highestFencing = max(s.highestFencing, request.Fencing)
	for other := range s.inProgress {
		if other.Fencing != request.Fencing {
			other.Overlapping = true
			record.Overlapping = true
		}
	}
	s.inProgress[record] = true
	return record, nil
}

// finish applies an order. If the engine checks fencing numbers and an order with a
// higher one was received since begin, it returns errStaleFencing instead.
func (s *orderState) finish(record *OrderRecord, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inProgress, record)
	stale := record.Fencing < s.highestFencing
	if stale && s.checksFencing {
		record.Refused = true
		return errStaleFencing
	}
	record.Stale = stale
	record.EffectUnixMS = now.UnixMilli()
	s.apply(record.OrderRequest)
	return nil
}

// apply makes the change of an order. The caller holds the lock.
func (s *orderState) apply(request OrderRequest) {
	if request.Kind == SetRole {
		s.role = request.Role
		return
	}
	index := s.modelIndex(request.Model)
	if index < 0 {
		s.models = append(s.models, ModelState{Name: request.Model, Adapters: []string{}})
		index = len(s.models) - 1
	}
	m := &s.models[index]
	if request.Kind != LoadAdapter {
		m.Version = request.Version
		return
	}
	if !slices.Contains(m.Adapters, request.Adapter) {
		m.Adapters = append(m.Adapters, request.Adapter)
	}
}

// allRecords returns copies of the records of all orders.
func (s *orderState) allRecords() []OrderRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]OrderRecord, 0, len(s.records))
	for _, r := range s.records {
		records = append(records, *r)
	}
	return records
}

// handleOrder serves POST /orders.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var request OrderRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		control.WriteJSON(w, http.StatusBadRequest, ErrorResponse{Error: err.Error()})
		return
	}
	record, err := e.orders.begin(request, time.Now())
	if err == nil {
		e.server.Sleep(e.scaledDuration(e.cfg.orderDuration))
		err = e.orders.finish(record, time.Now())
	}
	if err != nil {
		response := StaleOrderResponse{Error: err.Error(), Fencing: e.orders.snapshot().Fencing}
		control.WriteJSON(w, http.StatusConflict, response)
		return
	}
	control.WriteJSON(w, http.StatusOK, OrderResponse{OrderID: request.OrderID, Done: true})
}

// handleState serves GET /state.
func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, e.orders.snapshot())
}

// ConflictingOrders returns the orders that took effect after one with a higher
// fencing number was received, or that overlapped in time with an order with
// another fencing number. Orders that the engine refused are ignored, since they
// changed nothing.
func (r Record) ConflictingOrders() []OrderRecord {
	var conflicting []OrderRecord
	for i, o := range r.Orders {
		if o.Stale || slices.ContainsFunc(r.Orders, o.conflictsWith) {
			conflicting = append(conflicting, r.Orders[i])
		}
	}
	return conflicting
}

// conflictsWith reports whether two orders with different fencing numbers overlapped
// in time and neither was refused. An order that has not taken effect counts as
// still running.
func (o OrderRecord) conflictsWith(other OrderRecord) bool {
	if o.Fencing == other.Fencing || o.Refused || other.Refused {
		return false
	}
	return o.startedDuring(other) || other.startedDuring(o)
}

// startedDuring reports whether o was received while other was being executed.
func (o OrderRecord) startedDuring(other OrderRecord) bool {
	finishedBefore := other.EffectUnixMS > 0 && other.EffectUnixMS <= o.ReceivedUnixMS
	return other.ReceivedUnixMS <= o.ReceivedUnixMS && !finishedBefore
}
