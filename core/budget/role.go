package budget

import (
	"context"
	"slices"

	"monsoonfork/core/config"
	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
	"monsoonfork/core/keyvalue"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
	"monsoonfork/core/text"
)

// defaultSlotsPerDomain is the number of minting slots of a domain if the
// operator's configuration does not set it.
const defaultSlotsPerDomain = 4

func init() {
	kernel.Register(kernel.Role{
		Name:      "Budget",
		Summary:   "admits tokens of organisations within rate and burst",
		DependsOn: []string{"Membership", "Store"},
		Start:     start,
	})
}

// start constructs the Budget role.
func start(_ context.Context, n *kernel.Node) (*kernel.Callbacks, error) {
	var (
		links  *link.Links
		table  *membership.Table
		holder *config.Holder
		client *keyvalue.Client
	)
	if err := n.Require(&links, &table, &holder, &client); err != nil {
		return nil, err
	}
	reader := configReader{holder: holder, domain: n.Settings.Domain}
	deps := dependencies{
		view:          table.View,
		limits:        reader.limit,
		organisations: reader.organisations,
		layout:        reader.layout,
		peers:         links.Call,
		store:         newSlotStore(client, n.Settings.Domain, n.Log),
	}
	b := newBudget(n.ID, n.Settings.Domain, deps, withLog(n.Log), withMetrics(n.Metrics), withTimeSource(n.Now))
	if err := b.logAdmissions(n.Settings.AdmissionLog); err != nil {
		return nil, err
	}
	b.register(links)
	kernel.Provide(n, b)
	b.run()
	return &kernel.Callbacks{
		Drain: b.Drain,
		Close: b.Close,
		Dump:  func() any { return b.Dump() },
		Ready: b.Ready,
	}, nil
}

// configReader reads what the role needs from the operator's newest
// configuration.
type configReader struct {
	holder *config.Holder
	domain ident.DomainID
}

// current returns the newest configuration, or nil before the first one.
func (t configReader) current() *text.Text {
	if s := t.holder.Current(); s != nil {
		return s.Text
	}
	return nil
}

// limit returns the limit of an organisation. It returns false if there is
// none or the organisation may spend nothing.
func (t configReader) limit(org ident.OrganisationID) (Limit, bool) {
	current := t.current()
	if current == nil {
		return Limit{}, false
	}
	o, ok := current.Index().Organisation(org)
	if !ok {
		return Limit{}, false
	}
	l := Limit{Rate: o.Rate, Burst: o.Burst}
	return l, l.valid()
}

// organisations returns the names of all organisations.
func (t configReader) organisations() []ident.OrganisationID {
	current := t.current()
	if current == nil {
		return nil
	}
	names := make([]ident.OrganisationID, 0, len(current.Organisations))
	for i := range current.Organisations {
		names = append(names, current.Organisations[i].Name)
	}
	return names
}

// layout returns the number of domains and of slots in each. It returns 0 for
// a domain that the configuration does not list, since no share of the rates
// is reserved for such a domain.
func (t configReader) layout() (domains, slotsPerDomain int) {
	current := t.current()
	if current == nil || !slices.Contains(current.Domains, t.domain) {
		return 0, 0
	}
	slotsPerDomain = current.Policy.BudgetSlotsPerDomain
	if slotsPerDomain == 0 {
		slotsPerDomain = defaultSlotsPerDomain
	}
	return len(current.Domains), slotsPerDomain
}
