package engine

import (
	"context"
	"net/http"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/io/httpcall"
)

// OrderKind is the kind of an order to an engine.
type OrderKind string

// The kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	SetVersion  OrderKind = "set_version"
	SetRole     OrderKind = "set_role"
)

// Order changes what an engine serves.
type Order struct {
	ID      string        `json:"order_id"`
	Fencing ident.Epoch   `json:"fencing"`
	Kind    OrderKind     `json:"kind"`
	Model   ident.ModelID `json:"model,omitempty"`
	Version string        `json:"version,omitempty"`
	Adapter string        `json:"adapter,omitempty"`
	Role    string        `json:"role,omitempty"`
}

// State is what an engine serves now.
type State struct {
	Role    string        `json:"role"`
	Models  []LoadedModel `json:"models"`
	Fencing ident.Epoch   `json:"fencing"`
}

// LoadedModel is a model that an engine has loaded.
type LoadedModel struct {
	Name     ident.ModelID `json:"name"`
	Version  string        `json:"version"`
	Adapters []string      `json:"adapters"`
}

// Sending says when an order may leave and how long it is waited for.
type Sending struct {
	SendBy        time.Time     // Last moment at which it may leave, checked right before the send.
	DeliverWithin time.Duration // After it the kernel drops what the engine's host has not taken.
	DoneBy        time.Time     // End of the wait for the engine's confirmation.
	Check         func() error  // Called right before the send; its error keeps the order back. May be nil.
}

// Order sends an order once and returns when it is done. The error has kind
// NotHolder when the engine has seen a higher fencing number; its Ran is NotRun
// when the order did not leave or was refused.
func (c *Client) Order(ctx context.Context, to ident.Address, o Order, s Sending) error {
	var answer struct {
		ID   string `json:"order_id"`
		Done bool   `json:"done"`
	}
	limits := httpcall.Limits{ConnectBy: s.SendBy, SendBy: s.SendBy, DeliverWithin: s.DeliverWithin, WholeBy: s.DoneBy}
	call, err := c.shortCall(to, http.MethodPost, "/orders", o, limits)
	if err != nil {
		return err
	}
	call.BeforeSend = s.Check
	if err := c.decoded(ctx, call, &answer); err != nil {
		return err
	}
	if answer.ID != o.ID || !answer.Done {
		return fault.New(fault.AnswerBroken, "the engine did not confirm order %s", o.ID)
	}
	return nil
}

// State returns what an engine serves.
func (c *Client) State(ctx context.Context, to ident.Address) (State, error) {
	var state State
	err := c.short(ctx, to, http.MethodGet, "/state", nil, &state, c.shortLimits())
	return state, err
}
