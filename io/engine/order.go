package engine

import (
	"context"
	"net/http"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/io/httpcall"
)

// OrderKind is the kind of change that an order makes.
type OrderKind string

// The kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	SetVersion  OrderKind = "set_version"
	SetRole     OrderKind = "set_role"
)

// Order is a command to an engine that changes its models, adapters or role. An
// engine refuses an order whose fencing number is below the highest it has seen.
type Order struct {
	ID      string        `json:"order_id"`
	Fencing ident.Epoch   `json:"fencing"`
	Kind    OrderKind     `json:"kind"`
	Model   ident.ModelID `json:"model,omitempty"`
	Version string        `json:"version,omitempty"`
	Adapter string        `json:"adapter,omitempty"`
	Role    string        `json:"role,omitempty"`
}

// State is an engine's role, its loaded models and the highest fencing number that
// it has seen.
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

// OrderLimits holds the time limits and the final check of sending an order.
type OrderLimits struct {
	SendBy          time.Time     // Latest time of the send; checked right before it.
	DeliveryTimeout time.Duration // The kernel drops bytes that the engine's host has not acknowledged within it.
	ConfirmBy       time.Time     // Deadline for the engine's confirmation.
	BeforeSend      func() error  // Called right before the send; an error prevents the send. May be nil.
}

// Order sends an order once, without retries, and returns when the engine confirms
// that it is done. The error has kind NotHolder if the engine has seen a higher
// fencing number. Its Ran is NotRun if the order was not sent or was refused for
// its fencing number.
func (c *Client) Order(ctx context.Context, to ident.Address, o Order, s OrderLimits) error {
	var response struct {
		ID   string `json:"order_id"`
		Done bool   `json:"done"`
	}
	limits := httpcall.Limits{ConnectDeadline: s.SendBy, SendDeadline: s.SendBy, DeliveryTimeout: s.DeliveryTimeout, ResponseDeadline: s.ConfirmBy}
	call, err := c.newShortCall(to, http.MethodPost, "/orders", o, limits)
	if err != nil {
		return err
	}
	call.BeforeSend = s.BeforeSend
	if err := c.doJSON(ctx, call, &response); err != nil {
		return err
	}
	if response.ID != o.ID || !response.Done {
		return fault.New(fault.AnswerBroken, "the engine did not confirm order %s", o.ID)
	}
	return nil
}

// State returns an engine's current state.
func (c *Client) State(ctx context.Context, to ident.Address) (State, error) {
	var state State
	err := c.doShortCall(ctx, to, http.MethodGet, "/state", nil, &state, c.shortCallLimits())
	return state, err
}
