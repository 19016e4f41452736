// Package workload makes the requests of the two workloads that monsoonfork is
// built for, from a seed, so that a run can be repeated.
package workload

import (
	"time"

	"monsoonfork/core/ident"
)

// Kind is a kind of request.
type Kind int

//go:generate stringer -type=Kind -output=kind_string.go

// The kinds of requests.
const (
	Completion Kind = iota // A summary or draft by a model.
	Create                 // A booking or order; must not run twice.
	Cancel                 // A cancellation; must not run twice.
	Lookup                 // A look-up of an address.
	Status                 // A status call, open to all.
	kindCount
)

// MarshalText implements encoding.TextMarshaler.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Once reports whether a call of this kind may not run twice.
func (k Kind) Once() bool { return k == Create || k == Cancel }

// Kinds returns all kinds, in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := Completion; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Span is a range of whole numbers, both ends included.
type Span struct {
	Low, High int
}

// Share says how often something is chosen, against the sum of all shares.
type Share float64

// Prompts says what completions look like.
type Prompts struct {
	Share        Share        // Among all completions of the workload.
	Own          Span         // Tokens that are this request's own.
	Shared       ident.Tokens // Tokens at the start that all of an organisation share.
	Answer       Span         // Tokens of the answer.
	Streamed     float64      // Share of requests that stream.
	HighPriority bool
}

// Organisation is one organisation of a workload.
type Organisation struct {
	Name  ident.OrganisationID
	Share Share
	Rate  ident.TokensPerSecond
	Burst ident.Tokens
}

// Workload describes the traffic of one of the users.
type Workload struct {
	Name          string
	Model         ident.ModelID
	Domains       []ident.DomainID
	DomainDelay   time.Duration // Time between two failure domains, one way.
	Prefill       int           // Number of prefill engines.
	Decode        int           // Number of decode engines.
	Services      int           // Number of endpoints of the plain service.
	CreatePath    string        // Path of bookings or orders.
	Kinds         map[Kind]Share
	Completions   []Prompts
	Leaving       float64 // Share of completions whose caller leaves before the end.
	Organisations []Organisation
}

// Tuinhulp returns the workload of Tuinhulp Samen: long visit notes, short
// summaries, and gardeners who book, cancel and look up addresses.
func Tuinhulp() Workload {
	return Workload{
		Name:        "tuinhulp",
		Model:       "summary",
		Domains:     []ident.DomainID{"nl-west-a", "nl-west-b", "nl-west-c", "nl-west-d"},
		DomainDelay: 500 * time.Microsecond,
		Prefill:     6,
		Decode:      12,
		Services:    4,
		CreatePath:  "/bookings",
		Kinds:       map[Kind]Share{Completion: 50, Create: 12, Cancel: 5, Lookup: 20, Status: 13},
		Completions: []Prompts{
			{Share: 7, Own: Span{600, 4000}, Shared: 512, Answer: Span{40, 120}, Streamed: 0.5},
			{Share: 3, Own: Span{200, 800}, Shared: 512, Answer: Span{20, 60}, Streamed: 0.5},
		},
		Organisations: []Organisation{
			{Name: "tuinhulp", Share: 40, Rate: 60_000, Burst: 180_000},
			{Name: "groenhand", Share: 30, Rate: 45_000, Burst: 135_000},
			{Name: "erfzorg", Share: 15, Rate: 24_000, Burst: 72_000},
			{Name: "families", Share: 10, Rate: 16_000, Burst: 48_000},
			{Name: "archief", Share: 5, Rate: 8_000, Burst: 24_000},
		},
	}
}

// Tatrasoft returns the workload of Tatrasoft Hosting: many short quotes, some
// long drafts, orders, and status calls that must be quick.
func Tatrasoft() Workload {
	return Workload{
		Name:        "tatrasoft",
		Model:       "draft",
		Domains:     []ident.DomainID{"sk-central-a", "sk-central-b", "sk-central-c", "sk-central-d"},
		DomainDelay: 900 * time.Microsecond,
		Prefill:     4,
		Decode:      8,
		Services:    4,
		CreatePath:  "/orders",
		Kinds:       map[Kind]Share{Completion: 40, Create: 12, Cancel: 3, Lookup: 5, Status: 40},
		Completions: []Prompts{
			{Share: 8, Own: Span{30, 300}, Shared: 256, Answer: Span{30, 120}, Streamed: 0.7, HighPriority: true},
			{Share: 2, Own: Span{300, 1200}, Shared: 256, Answer: Span{150, 400}, Streamed: 0.7},
		},
		Organisations: []Organisation{
			{Name: "poprad-strechy", Share: 35, Rate: 25_000, Burst: 75_000},
			{Name: "zilina-zachytavace", Share: 30, Rate: 22_000, Burst: 66_000},
			{Name: "tatry-montaz", Share: 15, Rate: 12_000, Burst: 36_000},
			{Name: "liptov-krov", Share: 12, Rate: 10_000, Burst: 30_000},
			{Name: "orava-sneh", Share: 8, Rate: 7_000, Burst: 21_000},
		},
	}
}

// All returns both workloads.
func All() []Workload { return []Workload{Tuinhulp(), Tatrasoft()} }

// ByName returns the workload with the given name.
func ByName(name string) (Workload, bool) {
	for _, w := range All() {
		if w.Name == name {
			return w, true
		}
	}
	return Workload{}, false
}
