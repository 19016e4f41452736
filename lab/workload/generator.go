package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"monsoonfork/core/ident"
)

// longestStay is the longest time after which a caller leaves.
const longestStay = 1500 * time.Millisecond

// Request is one request of a caller.
type Request struct {
	Number       int
	At           time.Duration // Since the start of the run.
	Kind         Kind
	Organisation ident.OrganisationID

	// Of a completion.
	Prompt       string
	PromptTokens int
	MaxTokens    int
	Stream       bool
	HighPriority bool
	LeaveAfter   time.Duration // The caller leaves then; 0 when it stays.

	// Of a call to the plain service.
	Reference string // Unique for each request; the service counts runs by it.
}

// Generator makes the requests of a workload in the order of their arrival.
type Generator struct {
	workload Workload
	rate     float64 // Requests a second.
	seed     uint64
	random   *rand.Rand
	number   int
	at       time.Duration
	factors  map[ident.OrganisationID]float64
}

// NewGenerator returns a generator of rate requests a second with
// exponentially distributed gaps. Factors multiply the traffic of single
// organisations on top of that; a missing factor is 1.
func NewGenerator(w Workload, rate float64, seed uint64, factors map[ident.OrganisationID]float64) *Generator {
	return &Generator{workload: w, rate: rate, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), factors: factors}
}

// Next returns the next request.
func (g *Generator) Next() Request {
	g.number++
	gap := g.random.ExpFloat64() / (g.rate * g.growth())
	g.at += time.Duration(gap * float64(time.Second))
	r := Request{
		Number:       g.number,
		At:           g.at,
		Kind:         g.pickKind(),
		Organisation: g.pickOrganisation(),
	}
	if r.Kind == Completion {
		g.fillCompletion(&r)
	} else {
		r.Reference = fmt.Sprintf("%s-%d-%d", g.workload.Name, g.seed, r.Number)
	}
	return r
}

// growth returns by how much the factors raise the whole traffic.
func (g *Generator) growth() float64 {
	var plain, raised float64
	for _, o := range g.workload.Organisations {
		plain += float64(o.Share)
		raised += float64(o.Share) * g.factor(o.Name)
	}
	return raised / plain
}

// factor returns the factor of an organisation.
func (g *Generator) factor(name ident.OrganisationID) float64 {
	if f, ok := g.factors[name]; ok {
		return f
	}
	return 1
}

// pickKind draws a kind.
func (g *Generator) pickKind() Kind {
	var sum float64
	for _, k := range Kinds() {
		sum += float64(g.workload.Kinds[k])
	}
	drawn := g.random.Float64() * sum
	for _, k := range Kinds() {
		drawn -= float64(g.workload.Kinds[k])
		if drawn < 0 {
			return k
		}
	}
	return Status
}

// pickOrganisation draws an organisation.
func (g *Generator) pickOrganisation() ident.OrganisationID {
	organisations := g.workload.Organisations
	var sum float64
	for _, o := range organisations {
		sum += float64(o.Share) * g.factor(o.Name)
	}
	drawn := g.random.Float64() * sum
	for _, o := range organisations {
		drawn -= float64(o.Share) * g.factor(o.Name)
		if drawn < 0 {
			return o.Name
		}
	}
	return organisations[len(organisations)-1].Name
}

// pickPrompts draws a sort of completions.
func (g *Generator) pickPrompts() Prompts {
	var sum float64
	for _, p := range g.workload.Completions {
		sum += float64(p.Share)
	}
	drawn := g.random.Float64() * sum
	for _, p := range g.workload.Completions {
		drawn -= float64(p.Share)
		if drawn < 0 {
			return p
		}
	}
	return g.workload.Completions[0]
}

// within draws a number from a span.
func (g *Generator) within(s Span) int {
	return s.Low + g.random.IntN(s.High-s.Low+1)
}

// fillCompletion draws prompt and answer of a completion.
func (g *Generator) fillCompletion(r *Request) {
	p := g.pickPrompts()
	own := g.within(p.Own)
	r.PromptTokens = int(p.Shared) + own
	r.Prompt = g.prompt(r, int(p.Shared), own)
	r.MaxTokens = g.within(p.Answer)
	r.Stream = g.random.Float64() < p.Streamed
	r.HighPriority = p.HighPriority
	if g.workload.Leaving > 0 && g.random.Float64() < g.workload.Leaving {
		r.LeaveAfter = time.Duration(1 + g.random.Int64N(int64(longestStay)))
	}
}

// prompt returns a prompt of words of at least four letters: words that all requests of the organisation begin
// with, then words of this request.
func (g *Generator) prompt(r *Request, shared, own int) string {
	var b strings.Builder
	for i := range shared {
		_, _ = fmt.Fprintf(&b, "%.4s%03d ", r.Organisation, i)
	}
	_, _ = fmt.Fprintf(&b, "request%d-%d", g.seed, r.Number)
	for range own - 1 {
		_, _ = fmt.Fprintf(&b, " n%03d", g.random.IntN(1000))
	}
	return b.String()
}
