package engineapi

import (
	"time"

	"monsoonfork/core/ident"
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
