package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"monsoonfork/core/ident"
)

// maxDisconnectDelay is the maximum time between the start of a completion and
// the moment at which its caller closes the connection.
const maxDisconnectDelay = 1500 * time.Millisecond

// Request is one generated request.
type Request struct {
	Number       int
	At           time.Duration // Time of sending, measured from the start of the run.
	Kind         Kind
	Organisation ident.OrganisationID

	// Fields of a completion.
	Prompt          string
	PromptTokens    int
	MaxTokens       int
	Stream          bool
	HighPriority    bool
	DisconnectAfter time.Duration // The caller closes the connection after this time; 0 means that it reads the whole answer.

	// Fields of a call to the plain service.
	Reference string // Unique for each request; the service counts executions per reference.
}

// Generator generates the requests of a workload in the order of their arrival.
type Generator struct {
	workload Workload
	rate     float64 // Requests per second, before the factors apply.
	seed     uint64
	random   *rand.Rand
	number   int           // Number of the last generated request, counted from 1.
	at       time.Duration // Time of sending of the last generated request.
	factors  map[ident.OrganisationID]float64
}

// NewGenerator returns a generator of rate requests per second with
// exponentially distributed interarrival times. Each factor multiplies the
// traffic of one organisation, which raises or lowers the total rate; a missing
// factor counts as 1.
func NewGenerator(w Workload, rate float64, seed uint64, factors map[ident.OrganisationID]float64) *Generator {
	return &Generator{workload: w, rate: rate, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), factors: factors}
}

// Next returns the next request.
func (g *Generator) Next() Request {
	g.number++
	interval := g.random.ExpFloat64() / (g.rate * g.trafficFactor())
	g.at += time.Duration(interval * float64(time.Second))
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

// trafficFactor returns the ratio of the total traffic with the factors applied
// to the total traffic without them.
func (g *Generator) trafficFactor() float64 {
	var base, scaled float64
	for _, o := range g.workload.Organisations {
		base += float64(o.Weight)
		scaled += float64(o.Weight) * g.factor(o.Name)
	}
	return scaled / base
}

// factor returns the traffic factor of an organisation, 1 by default.
func (g *Generator) factor(name ident.OrganisationID) float64 {
	if f, ok := g.factors[name]; ok {
		return f
	}
	return 1
}

// pickKind draws a kind of request, by the weights of the kinds.
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

// pickOrganisation draws an organisation. The weight of each is multiplied by its
// traffic factor.
func (g *Generator) pickOrganisation() ident.OrganisationID {
	organisations := g.workload.Organisations
	var sum float64
	for _, o := range organisations {
		sum += float64(o.Weight) * g.factor(o.Name)
	}
	drawn := g.random.Float64() * sum
	for _, o := range organisations {
		drawn -= float64(o.Weight) * g.factor(o.Name)
		if drawn < 0 {
			return o.Name
		}
	}
	return organisations[len(organisations)-1].Name
}

// pickProfile draws a completion profile, by the weights of the profiles.
func (g *Generator) pickProfile() CompletionProfile {
	var sum float64
	for _, p := range g.workload.Completions {
		sum += float64(p.Weight)
	}
	drawn := g.random.Float64() * sum
	for _, p := range g.workload.Completions {
		drawn -= float64(p.Weight)
		if drawn < 0 {
			return p
		}
	}
	return g.workload.Completions[0]
}

// intInRange draws a uniformly distributed integer from a range.
func (g *Generator) intInRange(s IntRange) int {
	return s.Min + g.random.IntN(s.Max-s.Min+1)
}

// fillCompletion draws the prompt, the length of the answer and the other
// parameters of a completion.
func (g *Generator) fillCompletion(r *Request) {
	p := g.pickProfile()
	unique := g.intInRange(p.UniqueTokens)
	r.PromptTokens = int(p.SharedPrefixTokens) + unique
	r.Prompt = g.promptText(r, int(p.SharedPrefixTokens), unique)
	r.MaxTokens = g.intInRange(p.AnswerTokens)
	r.Stream = g.random.Float64() < p.StreamedFraction
	r.HighPriority = p.HighPriority
	if g.workload.DisconnectFraction > 0 && g.random.Float64() < g.workload.DisconnectFraction {
		r.DisconnectAfter = time.Duration(1 + g.random.Int64N(int64(maxDisconnectDelay)))
	}
}

// promptText returns a prompt of shared+unique words, each of at least four
// characters. The first shared words are the same in all requests of the
// organisation, the others belong to this request.
func (g *Generator) promptText(r *Request, shared, unique int) string {
	var b strings.Builder
	for i := range shared {
		_, _ = fmt.Fprintf(&b, "%.4s%03d ", r.Organisation, i)
	}
	_, _ = fmt.Fprintf(&b, "request%d-%d", g.seed, r.Number)
	for range unique - 1 {
		_, _ = fmt.Fprintf(&b, " n%03d", g.random.IntN(1000))
	}
	return b.String()
}
