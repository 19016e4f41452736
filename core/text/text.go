// Package text holds the configuration text that operators write: its types,
// its decoding and its checks.
package text

import "monsoonfork/core/ident"

// Text is the whole configuration that operators keep in version control.
type Text struct {
	Domains       []ident.DomainID `yaml:"Domains"`       // All failure domains.
	Models        []Model          `yaml:"Models"`        // Models that engines serve.
	Engines       []Engine         `yaml:"Engines"`       // Model engines.
	Services      []Service        `yaml:"Services"`      // Model services and plain services.
	Routes        []Route          `yaml:"Routes"`        // What callers may call.
	Organisations []Organisation   `yaml:"Organisations"` // Customers and their shares.
	Keys          []Key            `yaml:"Keys"`          // Callers' keys, as digests.
	Policy        Policy           `yaml:"Policy"`        // Fleet-wide choices, all optional.

	index *Index // Built by Parse; nil in other texts.
}

// Model is a model that engines can load.
type Model struct {
	Name             ident.ModelID `yaml:"Name"`             // Name by which callers ask for it.
	Version          string        `yaml:"Version"`          // Wanted version of the weights.
	Adapters         []string      `yaml:"Adapters"`         // Adapters that engines load besides.
	MinBytesPerToken int           `yaml:"MinBytesPerToken"` // Lowest number of bytes that one token of text has; 1 if left out.
	BytesPerKVToken  ident.Bytes   `yaml:"BytesPerKVToken"`  // Size of the KV cache of one token.
	MaxTokens        ident.Tokens  `yaml:"MaxTokens"`        // Longest prompt and answer together.
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
	Role           EngineRole       `yaml:"Role"`                   // Phase that it serves.
	Models         []ident.ModelID  `yaml:"Models"`                 // Models that it has loaded, at least one.
	Slots          int              `yaml:"Slots"`                  // Requests that it runs at once.
	MemoryPieces   ident.Pieces     `yaml:"MemoryPieces"`           // Size of its KV memory.
	TokensPerPiece ident.Tokens     `yaml:"TokensPerPiece"`         // Tokens that one piece holds.
	LinkBytes      ident.Bytes      `yaml:"LinkBytesPerSecond"`     // Rate limit of its transfer link; 0 means not counted.
	PrefillRate    float64          `yaml:"PrefillTokensPerSecond"` // Prompt tokens that it prefills a second; 0 means not known.
	ChecksFencing  bool             `yaml:"ChecksFencing"`          // Whether it refuses orders with an old fencing number.
	State          EndpointState    `yaml:"State"`                  // Leaving means: no new work.
	OrderTimeoutMS int64            `yaml:"OrderTimeoutMS"`         // Longest time that an order may be under way; 10000 if left out.
}

// ServiceKind says whether a service is a model service or a plain service.
type ServiceKind int

// The service kinds.
const (
	ModelService ServiceKind = iota
	PlainService
)

// Service is something that routes lead to.
type Service struct {
	Name      ident.ServiceID   `yaml:"Name"`      // Name that routes lead to.
	Kind      ServiceKind       `yaml:"Kind"`      // Whether engines or endpoints of its own serve it.
	Models    []ident.ModelID   `yaml:"Models"`    // Of a model service.
	Endpoints []Endpoint        `yaml:"Endpoints"` // Of a plain service.
	DependsOn []ident.ServiceID `yaml:"DependsOn"` // Services that it calls.
}

// Endpoint is one endpoint of a plain service.
type Endpoint struct {
	Name    ident.EndpointID `yaml:"Name"`    // Name; no two endpoints share one.
	Domain  ident.DomainID   `yaml:"Domain"`  // Failure domain that it is in.
	Address ident.Address    `yaml:"Address"` // IP address and port.
	State   EndpointState    `yaml:"State"`   // Leaving means: no new work.
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

// Route leads requests with a path and method to a service.
type Route struct {
	Name          string                 `yaml:"Name"`          // Name of the route.
	Path          string                 `yaml:"Path"`          // A path; a "/" at the end matches all below it.
	Method        string                 `yaml:"Method"`        // An HTTP method; empty means any.
	Service       ident.ServiceID        `yaml:"Service"`       // Where it leads.
	Access        Access                 `yaml:"Access"`        // Whether a key is needed.
	Idempotent    bool                   `yaml:"Idempotent"`    // Whether a call may be repeated; model routes must be.
	Priority      Priority               `yaml:"Priority"`      // High goes before Normal where requests wait.
	Organisations []ident.OrganisationID `yaml:"Organisations"` // Empty means all.
	TimeoutMS     int64                  `yaml:"TimeoutMS"`     // From the request's arrival to its last byte; 60000 if left out.
	FirstTokenMS  int64                  `yaml:"FirstTokenMS"`  // Target for the first token; 450 if left out.
	CostTokens    ident.Tokens           `yaml:"CostTokens"`    // Cost of one plain call against the rate.
}

// Organisation is a customer with its share of the fleet.
type Organisation struct {
	Name  ident.OrganisationID  `yaml:"Name"`                // Name of the customer.
	Rate  ident.TokensPerSecond `yaml:"RateTokensPerSecond"` // Its rate over the whole fleet, above 0.
	Burst ident.Tokens          `yaml:"BurstTokens"`         // Its burst over the whole fleet, above 0.
}

// Key is a caller's key. The text holds only its digest.
type Key struct {
	Name         ident.KeyID          `yaml:"Name"`         // Name of the key; not secret.
	Organisation ident.OrganisationID `yaml:"Organisation"` // For whom requests with it run.
	Salt         string               `yaml:"Salt"`         // Hex.
	Digest       string               `yaml:"Digest"`       // Hex of HMAC-SHA-256 of the key under the salt.
	Withdrawn    bool                 `yaml:"Withdrawn"`    // Refused from now on; its running requests are ended.
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

// Policy holds fleet-wide choices.
type Policy struct {
	Placement             PlacementPolicy `yaml:"Placement"`             // How engines are chosen.
	CutOffKeys            CutOffKeys      `yaml:"CutOffKeys"`            // What a domain does with keys while the store confirms nothing to it.
	BudgetSlotsPerDomain  int             `yaml:"BudgetSlotsPerDomain"`  // Instances of a domain that hold parts of its budgets; 0 means the built-in number.
	ClaimRetentionSeconds int64           `yaml:"ClaimRetentionSeconds"` // How long an Idempotency-Key is remembered; 0 means the built-in time.
}
