package text

import (
	"slices"
	"strings"

	"monsoonfork/core/ident"
)

// Index holds maps for look-ups in a text. It is immutable once built.
type Index struct {
	routes        map[routeKey]*Route
	services      map[ident.ServiceID]*Service
	organisations map[ident.OrganisationID]*Organisation
	keys          map[ident.KeyID]*Key
	models        map[ident.ModelID]*Model
	engines       map[ident.EndpointID]*Engine
	pools         map[poolKey][]*Engine
}

// routeKey is the path and method of a route. An empty method stands for any.
type routeKey struct{ path, method string }

// poolKey identifies the pool of a domain's engines for one model and role.
type poolKey struct {
	domain ident.DomainID
	model  ident.ModelID
	role   EngineRole
}

// NewIndex builds the index of t.
func NewIndex(t *Text) *Index {
	x := &Index{
		routes:        map[routeKey]*Route{},
		services:      byName(t.Services, func(s *Service) ident.ServiceID { return s.Name }),
		organisations: byName(t.Organisations, func(o *Organisation) ident.OrganisationID { return o.Name }),
		keys:          byName(t.Keys, func(k *Key) ident.KeyID { return k.Name }),
		models:        byName(t.Models, func(m *Model) ident.ModelID { return m.Name }),
		engines:       byName(t.Engines, func(e *Engine) ident.EndpointID { return e.Name }),
		pools:         map[poolKey][]*Engine{},
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		x.routes[routeKey{r.Path, r.Method}] = r
	}
	for i := range t.Engines {
		e := &t.Engines[i]
		for _, m := range e.Models {
			k := poolKey{e.Domain, m, e.Role}
			x.pools[k] = append(x.pools[k], e)
		}
	}
	return x
}

// byName maps entries by their names.
func byName[E any, N ~string](entries []E, name func(*E) N) map[N]*E {
	m := make(map[N]*E, len(entries))
	for i := range entries {
		m[name(&entries[i])] = &entries[i]
	}
	return m
}

// Index returns the index of t. A text returned by Parse without problems has one;
// for other texts it is built at each call.
func (t *Text) Index() *Index {
	if t.index != nil {
		return t.index
	}
	return NewIndex(t)
}

// Route returns the route that matches a request. An exact path takes precedence
// over path prefixes that end in "/", a longer prefix over a shorter one, and, for
// the same path, a route with the method over one for any method.
func (x *Index) Route(method, path string) (*Route, bool) {
	if r, ok := x.routeAt(method, path); ok {
		return r, true
	}
	for cut := strings.LastIndexByte(path, '/'); cut >= 0; cut = strings.LastIndexByte(path[:cut], '/') {
		if r, ok := x.routeAt(method, path[:cut+1]); ok {
			return r, true
		}
	}
	return nil, false
}

// routeAt returns the route with exactly this path, preferring one with the
// method.
func (x *Index) routeAt(method, path string) (*Route, bool) {
	if r, ok := x.routes[routeKey{path, method}]; ok {
		return r, true
	}
	r, ok := x.routes[routeKey{path, ""}]
	return r, ok
}

// Service returns a service by name.
func (x *Index) Service(name ident.ServiceID) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Organisation returns an organisation by name.
func (x *Index) Organisation(name ident.OrganisationID) (*Organisation, bool) {
	o, ok := x.organisations[name]
	return o, ok
}

// Key returns a key by name.
func (x *Index) Key(name ident.KeyID) (*Key, bool) {
	k, ok := x.keys[name]
	return k, ok
}

// Model returns a model by name.
func (x *Index) Model(name ident.ModelID) (*Model, bool) {
	m, ok := x.models[name]
	return m, ok
}

// Engine returns an engine by name.
func (x *Index) Engine(name ident.EndpointID) (*Engine, bool) {
	e, ok := x.engines[name]
	return e, ok
}

// Engines returns the engines of a domain with the given model and role, including
// those in state Leaving. The caller must not modify the slice.
func (x *Index) Engines(d ident.DomainID, m ident.ModelID, role EngineRole) []*Engine {
	return x.pools[poolKey{d, m, role}]
}

// Admits reports whether an organisation may use the route.
func (r *Route) Admits(o ident.OrganisationID) bool {
	return len(r.Organisations) == 0 || slices.Contains(r.Organisations, o)
}

// Serves reports whether a model service offers a model.
func (s *Service) Serves(m ident.ModelID) bool { return slices.Contains(s.Models, m) }
