// Package catalog holds the operator's configuration: routes, services, organisations and
// limits.
package catalog

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

//go:generate stringer -type=Kind -linecomment -output=catalog_string.go

// Kind says how often a request of a route may be run.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota // Safe
	// AtMostOnce requests may run at most once.
	AtMostOnce // Once
	// Stream is like AtMostOnce, with a stream of events as the answer; see Route.Resumable.
	Stream
)

// Catalog is one version of the configuration. It is immutable after New.
type Catalog struct {
	Version       ident.Revision
	Raw           []byte // The text as the operator wrote it; sent to other instances.
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits

	byHost    map[string][]*Route // Sorted by descending length of the prefix.
	byService map[ident.ServiceID]*Service
	byKey     map[keyDigest]*Organisation
	urgencies []urgency                // The most urgent first.
	ranked    map[ident.ServiceID]bool // Services with routes of different priorities.
}

// keyDigest is the SHA-256 digest of a caller's key.
type keyDigest [sha256.Size]byte

// Route says how requests for a host and a path prefix are handled.
type Route struct {
	Name             string
	Host             string
	Prefix           string // Begins and ends with a slash.
	Kind             Kind
	Resumable        bool  // A stream may be resumed on another engine.
	Public           bool  // Requests need no key.
	TimeoutMS        int64 // Longest time that a caller waits.
	TargetLatencyMS  int64 // Objective: time to the answer, or to the first event of a stream.
	TargetEventGapMS int64 // Objective: longest pause between events.
	MaxEngines       int   // Most engines on which one request may be tried.
	Priority         int   // 0 is the most urgent.
	Targets          []Target
	AllowedRegions   Regions // Only engines there serve the requests.
}

// Target is a service and its weight in the distribution of a route's requests.
type Target struct {
	Service ident.ServiceID
	Weight  float64
}

// Regions limits requests to regions. Without any there is no limit.
type Regions []ident.RegionID

// Allows reports whether a region is among the regions, or there is no limit. An unknown region,
// "", is not.
func (r Regions) Allows(region ident.RegionID) bool {
	return len(r) == 0 || region != "" && slices.Contains(r, region)
}

// Service is a set of interchangeable engines.
type Service struct {
	Name           ident.ServiceID
	MaxConnections int           // To one engine, from all callers.
	Model          *ModelPool    // Nil for plain services.
	ColdTime       time.Duration // For how long an engine is cold after its start; 0 if never.
	ColdRate       float64       // How many requests a second a cold engine may get; 0 for no limit.
}

// ModelPool holds the properties that all engines of a model service share.
type ModelPool struct {
	KVCacheTokens      ident.Tokens
	StageChangeSeconds float64 // How long a change of stage takes.
	MaxReservationMS   float64 // Longest reservation; 0 if there are none.

	Moves      bool          // Engines move runs to other engines on demand.
	Backups    bool          // Engines copy the memory of a run to a backup engine that the request names.
	TokenBytes float64       // Memory of a token in bytes; 0 if not known.
	LinkMbps   float64       // Bandwidth between two engines of a failure domain in Mbit/s; 0 if not known.
	CopyTime   time.Duration // How long an engine keeps a copy that is neither used nor extended.
}

// Organisation is a customer with keys and a rate.
type Organisation struct {
	Name               ident.OrganisationID
	Keys               []string
	Priority           int
	HasPriority        bool                  // Priority replaces that of the route.
	CountsTokens       bool                  // Rate and Burst count tokens; otherwise they count requests.
	PlainRequestTokens ident.Tokens          // What a request without a token count costs.
	Rate               ident.TokensPerSecond // 0 means no limit.
	Burst              ident.Tokens
	AllowedRegions     Regions // Only engines there serve the requests, within those of the route.
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// New checks and indexes a catalog. The error has kind BadText.
func New(c Catalog) (*Catalog, error) {
	c.byHost = make(map[string][]*Route)
	c.byService = make(map[ident.ServiceID]*Service)
	c.byKey = make(map[keyDigest]*Organisation)
	for i := range c.Services {
		c.byService[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := c.checkRoute(r); err != nil {
			return nil, err
		}
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			if key == "" { // That of requests without a key.
				continue
			}
			c.byKey[sha256.Sum256([]byte(key))] = &c.Organisations[i]
		}
	}
	c.urgencies = c.allUrgencies()
	c.ranked = c.rankedServices()
	return &c, nil
}

// checkRoute checks the prefix and the services of a route.
func (c *Catalog) checkRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fault.New(fault.BadText, "route %s: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return fault.New(fault.BadText, "route %s has no service", r.Name)
	}
	for _, t := range r.Targets {
		if _, ok := c.byService[t.Service]; !ok {
			return fault.New(fault.BadText, "route %s: there is no service %s", r.Name, t.Service)
		}
	}
	return nil
}

// Route returns the route of a request: the one with the longest prefix.
func (c *Catalog) Route(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (c *Catalog) Service(name ident.ServiceID) (*Service, bool) {
	s, ok := c.byService[name]
	return s, ok
}

// Organisation returns the organisation that a key belongs to.
func (c *Catalog) Organisation(key string) (*Organisation, bool) {
	o, ok := c.byKey[sha256.Sum256([]byte(key))]
	return o, ok
}

// RequiresKey reports whether requests need a key at all.
func (c *Catalog) RequiresKey() bool { return len(c.Organisations) > 0 }

// Choose selects a service by weight. point is a random number in [0, 1).
func (r *Route) Choose(point float64) ident.ServiceID {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := point * total
	for _, t := range r.Targets {
		if remaining < t.Weight {
			return t.Service
		}
		remaining -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
