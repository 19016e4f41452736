package fleet

import (
	"fmt"

	"go.yaml.in/yaml/v3"

	"monsoonfork/core/ident"
	"monsoonfork/core/keys"
	"monsoonfork/core/text"
	"monsoonfork/io/standin/engine"
	"monsoonfork/lab/workload"
)

// Names of the services in the configuration text.
const (
	modelService = ident.ServiceID("model")
	plainService = ident.ServiceID("planning")
)

// Values in the configuration text.
const (
	minBytesPerToken      = 4
	maxTokens             = ident.Tokens(32_000)
	modelTimeoutMS        = 60_000
	plainTimeoutMS        = 5_000
	firstTokenTargetMS    = 450
	engineOrderTimeoutMS  = 2_000
	plainCallCostTokens   = ident.Tokens(10)
	claimRetentionSeconds = 3600
)

// RestrictedPath is a path that only the first organisation of a workload may use.
// RestrictedReference is the reference under which the plain service counts the
// executions of calls to it.
const (
	RestrictedReference = "own"
	RestrictedPath      = "/addresses/" + RestrictedReference
)

// newConfig returns the configuration text that describes the fleet, and stores
// the API keys that it generates in f.Keys.
func (f *Fleet) newConfig() *text.Text {
	w := f.Spec.Workload
	t := &text.Text{
		Domains: w.Domains,
		Models: []text.Model{{
			Name:             w.Model,
			Version:          "v1",
			MinBytesPerToken: minBytesPerToken,
			BytesPerKVToken:  bytesPerKVToken,
			MaxTokens:        maxTokens,
		}},
		Services: []text.Service{
			{Name: modelService, Kind: text.ModelService, Models: []ident.ModelID{w.Model}},
			{Name: plainService, Kind: text.PlainService, Endpoints: f.endpoints()},
		},
		Routes: routes(w),
		Policy: text.Policy{ClaimRetentionSeconds: claimRetentionSeconds},
	}
	for _, e := range f.Engines {
		t.Engines = append(t.Engines, f.engineEntry(e))
	}
	for _, o := range w.Organisations {
		t.Organisations = append(t.Organisations, text.Organisation{Name: o.Name, Rate: o.Rate, Burst: o.Burst})
		key, line := keys.Generate(ident.KeyID("key-"+o.Name), o.Name)
		f.Keys[o.Name] = key
		t.Keys = append(t.Keys, line)
	}
	return t
}

// endpoints returns the configuration entries of the plain service's endpoints.
func (f *Fleet) endpoints() []text.Endpoint {
	endpoints := make([]text.Endpoint, 0, len(f.Services))
	for _, s := range f.Services {
		endpoints = append(endpoints, text.Endpoint{
			Name:    ident.EndpointID(s.Name),
			Domain:  s.Domain,
			Address: ident.Address(s.Address),
		})
	}
	return endpoints
}

// engineEntry returns the configuration entry of an engine. The configured rates
// are divided by the time scale, to match the speed of the stand-in.
func (f *Fleet) engineEntry(e Engine) text.Engine {
	role := text.Decode
	if e.Role == engine.PrefillRole {
		role = text.Prefill
	}
	return text.Engine{
		Name:           ident.EndpointID(e.Name),
		Domain:         e.Domain,
		Address:        ident.Address(e.Address),
		Role:           role,
		Models:         []ident.ModelID{f.Spec.Workload.Model},
		Slots:          engineSlots,
		MemoryPieces:   engineMemoryPieces,
		TokensPerPiece: engineTokensPerPiece,
		LinkBandwidth:  ident.Bytes(float64(engineLinkBytesPerSecond) / f.Spec.timeScale()),
		PrefillRate:    float64(prefillRate) / f.Spec.timeScale(),
		ChecksFencing:  e.ChecksFencing,
		OrderTimeoutMS: engineOrderTimeoutMS,
	}
}

// routes returns the configured routes of a workload.
func routes(w workload.Workload) []text.Route {
	model := text.Route{
		Method:       "POST",
		Service:      modelService,
		Idempotent:   true,
		TimeoutMS:    modelTimeoutMS,
		FirstTokenMS: firstTokenTargetMS,
	}
	completions, chat := model, model
	completions.Name, completions.Path = "completions", "/v1/completions"
	chat.Name, chat.Path = "chat", "/v1/chat/completions"
	plain := text.Route{Service: plainService, TimeoutMS: plainTimeoutMS, CostTokens: plainCallCostTokens}
	create, cancel, lookup, status := plain, plain, plain, plain
	create.Name, create.Method, create.Path = "create", "POST", w.CreatePath
	cancel.Name, cancel.Method, cancel.Path = "cancel", "DELETE", "/bookings/"
	lookup.Name, lookup.Method, lookup.Path = "addresses", "GET", "/addresses/"
	lookup.Idempotent, lookup.Priority = true, text.High
	status.Name, status.Method, status.Path = "status", "GET", "/status"
	status.Idempotent, status.Priority, status.Access, status.CostTokens = true, text.High, text.Open, 0
	restricted := lookup
	restricted.Name, restricted.Path = "own", RestrictedPath
	restricted.Organisations = []ident.OrganisationID{w.Organisations[0].Name}
	return []text.Route{completions, chat, create, cancel, lookup, restricted, status}
}

// Encode returns a configuration text in YAML, as operators write it. It fails if
// the text is invalid.
func Encode(t *text.Text) ([]byte, error) {
	raw, err := yaml.Marshal(t)
	if err != nil {
		return nil, err
	}
	if _, err := text.ParseValid(raw); err != nil {
		return nil, fmt.Errorf("invalid configuration text of the fleet: %w", err)
	}
	return raw, nil
}
