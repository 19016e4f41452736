package catalog

import (
	"cmp"
	"slices"

	"monsoonfork/core/ident"
)

// urgency orders requests by the priority of their organisation and then by that of their route; 0
// is the most urgent. Where the organisation has no priority, that of the route stands for it.
type urgency struct {
	organisation int
	route        int
}

// urgencyOf returns the urgency of a request of an organisation, nil on open routes.
func urgencyOf(o *Organisation, r *Route) urgency {
	if o == nil || !o.HasPriority {
		return urgency{r.Priority, r.Priority}
	}
	return urgency{o.Priority, r.Priority}
}

// compare orders urgencies, the most urgent first.
func (u urgency) compare(other urgency) int {
	return cmp.Or(cmp.Compare(u.organisation, other.organisation), cmp.Compare(u.route, other.route))
}

// UrgencyRank returns how many more urgent combinations of an organisation and a route the
// configuration has. It is 0 for all requests to a service whose routes for streams have one
// priority: such a service does not ask for an order of its requests.
func (c *Catalog) UrgencyRank(o *Organisation, r *Route, s ident.ServiceID) int {
	if !c.ranked[s] {
		return 0
	}
	rank, _ := slices.BinarySearchFunc(c.urgencies, urgencyOf(o, r), urgency.compare)
	return rank
}

// allUrgencies returns the urgencies of the requests that the configuration allows, the most
// urgent first.
func (c *Catalog) allUrgencies() []urgency {
	distinct := make(map[urgency]bool)
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Public || len(c.Organisations) == 0 {
			distinct[urgencyOf(nil, r)] = true
			continue
		}
		for k := range c.Organisations {
			distinct[urgencyOf(&c.Organisations[k], r)] = true
		}
	}
	list := make([]urgency, 0, len(distinct))
	for u := range distinct {
		list = append(list, u)
	}
	slices.SortFunc(list, urgency.compare)
	return list
}

// rankedServices returns the services with routes for streams of different priorities.
func (c *Catalog) rankedServices() map[ident.ServiceID]bool {
	first := make(map[ident.ServiceID]int)
	ranked := make(map[ident.ServiceID]bool)
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != Stream {
			continue
		}
		for _, t := range r.Targets {
			if priority, seen := first[t.Service]; seen && priority != r.Priority {
				ranked[t.Service] = true
			}
			first[t.Service] = r.Priority
		}
	}
	return ranked
}
