// Package text holds the configuration text that operators write: its types,
// its decoding and its checks.
package text

import "monsoonfork/core/ident"

// Text is the configuration of the whole fleet. Operators keep it in version
// control.
type Text struct {
	Domains       []ident.DomainID `yaml:"Domains"`       // All failure domains.
	Models        []Model          `yaml:"Models"`        // Models that engines serve.
	Engines       []Engine         `yaml:"Engines"`       // Model engines.
	Services      []Service        `yaml:"Services"`      // Model services and plain services.
	Routes        []Route          `yaml:"Routes"`        // Paths and methods that callers may use.
	Organisations []Organisation   `yaml:"Organisations"` // Customers and their rates.
	Keys          []Key            `yaml:"Keys"`          // Callers' keys, stored as digests.
	Policy        Policy           `yaml:"Policy"`        // Fleet-wide policies, all optional.

	index *Index // Built by Parse; nil in other texts.
}

// Model is a model that engines can load.
type Model struct {
	Name             ident.ModelID `yaml:"Name"`             // Name by which callers request the model.
	Version          string        `yaml:"Version"`          // Version of the weights that its engines are to have.
	Adapters         []string      `yaml:"Adapters"`         // Adapters that its engines load for it.
	MinBytesPerToken int           `yaml:"MinBytesPerToken"` // Minimum number of bytes of text per token; 1 if left out.
	BytesPerKVToken  ident.Bytes   `yaml:"BytesPerKVToken"`  // Size of the KV cache of one token, in bytes.
	MaxTokens        ident.Tokens  `yaml:"MaxTokens"`        // Maximum number of tokens of prompt and answer together.
}

// EngineRole is the phase of requests that an engine serves.
type EngineRole int

//go:generate stringer -type=EngineRole,Access,Priority,EndpointState,ServiceKind,PlacementPolicy,CutOffKeys,ChangeKind -output=text_string.go

// The engine roles.
const (
	Prefill EngineRole = iota
	Decode
)

// EndpointState says whether an endpoint may get new requests.
type EndpointState int

// The endpoint states.
const (
	Serving EndpointState = iota
	Leaving
)

// Engine is one model engine.
type Engine struct {
	Name           ident.EndpointID `yaml:"Name"`                   // Name; no two endpoints share one.
	Domain         ident.DomainID   `yaml:"Domain"`                 // Failure domain that it is in.
	Address        ident.Address    `yaml:"Address"`                // IP address and port.
	Role           EngineRole       `yaml:"Role"`                   // Phase of requests that it serves.
	Models         []ident.ModelID  `yaml:"Models"`                 // Models that it has loaded, at least one.
	Slots          int              `yaml:"Slots"`                  // Maximum number of requests that it runs at the same time.
	MemoryPieces   ident.Pieces     `yaml:"MemoryPieces"`           // Size of its KV cache, in pieces.
	TokensPerPiece ident.Tokens     `yaml:"TokensPerPiece"`         // Number of tokens that one piece holds.
	LinkBandwidth  ident.Bytes      `yaml:"LinkBytesPerSecond"`     // Bandwidth of its transfer link, in bytes per second; 0 means unknown.
	PrefillRate    float64          `yaml:"PrefillTokensPerSecond"` // Prompt tokens that it prefills per second; 0 means unknown.
	ChecksFencing  bool             `yaml:"ChecksFencing"`          // Whether it refuses orders with an old fencing number.
	State          EndpointState    `yaml:"State"`                  // In state Leaving it gets no new requests.
	OrderTimeoutMS int64            `yaml:"OrderTimeoutMS"`         // Maximum duration of an order; 10000 if left out.
}

// ServiceKind says whether a service is a model service or a plain service.
type ServiceKind int

// The service kinds.
const (
	ModelService ServiceKind = iota
	PlainService
)

// Service handles the requests of the routes that name it.
type Service struct {
	Name      ident.ServiceID   `yaml:"Name"`      // Name by which routes refer to the service.
	Kind      ServiceKind       `yaml:"Kind"`      // Whether model engines or its own endpoints serve it.
	Models    []ident.ModelID   `yaml:"Models"`    // Models that a model service offers.
	Endpoints []Endpoint        `yaml:"Endpoints"` // Endpoints of a plain service.
	DependsOn []ident.ServiceID `yaml:"DependsOn"` // Names of the services that it calls.
}

// Endpoint is one endpoint of a plain service.
type Endpoint struct {
	Name    ident.EndpointID `yaml:"Name"`    // Name; no two endpoints share one.
	Domain  ident.DomainID   `yaml:"Domain"`  // Failure domain that it is in.
	Address ident.Address    `yaml:"Address"` // IP address and port.
	State   EndpointState    `yaml:"State"`   // In state Leaving it gets no new requests.
}

// Access says who may use a route.
type Access int

// The kinds of access.
const (
	Keyed Access = iota // A valid key is required.
	Open                // No key is required.
)

// Priority determines the order of requests that wait for the same engines.
type Priority int

// The priorities, lowest first.
const (
	Normal Priority = iota
	High
)

// Route assigns requests with a path and method to a service.
type Route struct {
	Name          string                 `yaml:"Name"`          // Name of the route.
	Path          string                 `yaml:"Path"`          // Path of the requests; a "/" at the end matches all paths below it.
	Method        string                 `yaml:"Method"`        // HTTP method of the requests; empty means any.
	Service       ident.ServiceID        `yaml:"Service"`       // Service that handles the requests.
	Access        Access                 `yaml:"Access"`        // Whether a key is required.
	Idempotent    bool                   `yaml:"Idempotent"`    // Whether a call may be repeated; model routes must be.
	Priority      Priority               `yaml:"Priority"`      // Waiting requests with priority High are served before those with Normal.
	Organisations []ident.OrganisationID `yaml:"Organisations"` // Organisations that may use the route; empty means all.
	TimeoutMS     int64                  `yaml:"TimeoutMS"`     // Timeout from the arrival of a request to the last byte of the answer; 60000 if left out.
	FirstTokenMS  int64                  `yaml:"FirstTokenMS"`  // Target for the time to the first token; 450 if left out, but at most TimeoutMS.
	CostTokens    ident.Tokens           `yaml:"CostTokens"`    // Tokens charged to the organisation for one call of a plain service.
}

// Organisation is a customer with its rate limit.
type Organisation struct {
	Name  ident.OrganisationID  `yaml:"Name"`                // Name of the customer.
	Rate  ident.TokensPerSecond `yaml:"RateTokensPerSecond"` // Rate limit over the whole fleet; above 0.
	Burst ident.Tokens          `yaml:"BurstTokens"`         // Burst size over the whole fleet; above 0.
}

// Key is a caller's key. The text holds only its digest.
type Key struct {
	Name         ident.KeyID          `yaml:"Name"`         // Name of the key; not secret.
	Organisation ident.OrganisationID `yaml:"Organisation"` // Organisation to which requests with the key belong.
	Salt         string               `yaml:"Salt"`         // Salt of the digest, in hex; at least 16 bytes.
	Digest       string               `yaml:"Digest"`       // HMAC-SHA-256 of the key with the salt, in hex.
	Withdrawn    bool                 `yaml:"Withdrawn"`    // Whether the key is refused; its running requests are then ended.
}

// PlacementPolicy selects the method by which engines are chosen.
type PlacementPolicy int

// The placement policies. All but Paired are baselines for comparison.
const (
	Paired PlacementPolicy = iota
	RoundRobin
	LeastLoad
	TwoChoices
)

// CutOffKeys says whether a failure domain accepts keys while the store cannot
// confirm to it that its configuration is the newest.
type CutOffKeys int

// The policies for keys in a cut-off domain.
const (
	ServeLastKnown CutOffKeys = iota
	RefuseKeyed
)

// Policy holds fleet-wide policies.
type Policy struct {
	Placement             PlacementPolicy `yaml:"Placement"`             // Method by which engines are chosen.
	CutOffKeys            CutOffKeys      `yaml:"CutOffKeys"`            // Whether a domain accepts keys while the store cannot confirm its configuration.
	BudgetSlotsPerDomain  int             `yaml:"BudgetSlotsPerDomain"`  // Number of instances of a domain that hold shares of its budgets; 0 means the default.
	ClaimRetentionSeconds int64           `yaml:"ClaimRetentionSeconds"` // How long an Idempotency-Key is stored; 0 means the default.
}
