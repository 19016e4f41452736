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

// Names in the text.
const (
	modelService = ident.ServiceID("model")
	plainService = ident.ServiceID("planning")
)

// Values of the text.
const (
	minBytesPerToken  = 4
	maxTokens         = ident.Tokens(32_000)
	modelTimeoutMS    = 60_000
	plainTimeoutMS    = 5_000
	firstTokenMS      = 450
	engineOrderMS     = 2_000
	plainCallTokens   = ident.Tokens(10)
	claimRetentionSec = 3600
)

// A path that only the first organisation of a workload may use, and by which
// reference the plain service counts its runs.
const (
	OwnReference = "own"
	OwnPath      = "/addresses/" + OwnReference
)

// newText returns the text that describes the fleet.
func (f *Fleet) newText() *text.Text {
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
		Policy: text.Policy{ClaimRetentionSeconds: claimRetentionSec},
	}
	for _, e := range f.Engines {
		t.Engines = append(t.Engines, f.textEngine(e))
	}
	for _, o := range w.Organisations {
		t.Organisations = append(t.Organisations, text.Organisation{Name: o.Name, Rate: o.Rate, Burst: o.Burst})
		key, line := keys.Generate(ident.KeyID("key-"+o.Name), o.Name)
		f.Keys[o.Name] = key
		t.Keys = append(t.Keys, line)
	}
	return t
}

// endpoints returns the endpoints of the plain service.
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

// textEngine returns the line of an engine.
func (f *Fleet) textEngine(e Engine) text.Engine {
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
		MemoryPieces:   enginePieces,
		TokensPerPiece: engineTokensPerPiece,
		LinkBandwidth:  ident.Bytes(float64(engineLinkBytes) / f.Spec.timeScale()),
		PrefillRate:    float64(prefillRate) / f.Spec.timeScale(),
		ChecksFencing:  e.ChecksFencing,
		OrderTimeoutMS: engineOrderMS,
	}
}

// routes returns the routes of a workload.
func routes(w workload.Workload) []text.Route {
	model := text.Route{
		Method:       "POST",
		Service:      modelService,
		Idempotent:   true,
		TimeoutMS:    modelTimeoutMS,
		FirstTokenMS: firstTokenMS,
	}
	completions, chat := model, model
	completions.Name, completions.Path = "completions", "/v1/completions"
	chat.Name, chat.Path = "chat", "/v1/chat/completions"
	plain := text.Route{Service: plainService, TimeoutMS: plainTimeoutMS, CostTokens: plainCallTokens}
	create, cancel, lookup, status := plain, plain, plain, plain
	create.Name, create.Method, create.Path = "create", "POST", w.CreatePath
	cancel.Name, cancel.Method, cancel.Path = "cancel", "DELETE", "/bookings/"
	lookup.Name, lookup.Method, lookup.Path = "addresses", "GET", "/addresses/"
	lookup.Idempotent, lookup.Priority = true, text.High
	status.Name, status.Method, status.Path = "status", "GET", "/status"
	status.Idempotent, status.Priority, status.Access, status.CostTokens = true, text.High, text.Open, 0
	own := lookup
	own.Name, own.Path = "own", OwnPath
	own.Organisations = []ident.OrganisationID{w.Organisations[0].Name}
	return []text.Route{completions, chat, create, cancel, lookup, own, status}
}

// Encode returns a text as operators write it.
func Encode(t *text.Text) ([]byte, error) {
	raw, err := yaml.Marshal(t)
	if err != nil {
		return nil, err
	}
	if _, err := text.ParseValid(raw); err != nil {
		return nil, fmt.Errorf("the fleet's text: %w", err)
	}
	return raw, nil
}
