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

// defaultSlotsPerDomain is the number of minting slots of a domain when the
// text does not say another.
const defaultSlotsPerDomain = 4

func init() {
	kernel.Register(kernel.Role{
		Name:    "Budget",
		Summary: "admits tokens of organisations within rate and burst",
		After:   []string{"Membership", "Store"},
		Start:   start,
	})
}

// start is the role's constructor.
func start(_ context.Context, n *kernel.Node) (*kernel.Running, error) {
	var (
		links  *link.Links
		table  *membership.Table
		holder *config.Holder
		client *keyvalue.Client
	)
	if err := n.Need(&links, &table, &holder, &client); err != nil {
		return nil, err
	}
	t := textOf{holder: holder, domain: n.Settings.Domain}
	s := seams{
		view:   table.View,
		limits: t.limit,
		orgs:   t.organisations,
		layout: t.layout,
		peers:  links.Call,
		store:  slotStoreOf(client, n.Settings.Domain),
	}
	b := newBudget(n.ID, n.Settings.Domain, s, withLog(n.Log), withMetrics(n.Metrics), withNow(n.Now))
	if err := b.logAdmissions(n.Settings.AdmissionLog); err != nil {
		return nil, err
	}
	b.register(links)
	kernel.Provide(n, b)
	b.run()
	return &kernel.Running{
		Drain: b.Drain,
		Close: b.Close,
		Dump:  func() any { return b.Dump() },
		Ready: b.Ready,
	}, nil
}

// textOf reads what the role needs from the newest text.
type textOf struct {
	holder *config.Holder
	domain ident.DomainID
}

// current returns the newest text, or nil before the first one.
func (t textOf) current() *text.Text {
	if s := t.holder.Current(); s != nil {
		return s.Text
	}
	return nil
}

// limit returns the limit of an organisation.
func (t textOf) limit(org ident.OrganisationID) (Limit, bool) {
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
func (t textOf) organisations() []ident.OrganisationID {
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

// layout returns the number of domains and of slots in each. A domain that the
// text does not list has no slots, since no part of the rate is kept for it.
func (t textOf) layout() (domains, slotsPerDomain int) {
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
