package text

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"

	"monsoonfork/core/ident"
	"monsoonfork/core/strictyaml"
)

// maxNameLength is the longest name, in bytes.
const maxNameLength = 64

// Names stand in headers, metrics, store keys and callers' keys, so they hold
// no blanks. Models and adapters may have the separators usual for them.
var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@-]*$`)
)

// checker finds what is wrong with a decoded text.
type checker struct {
	*strictyaml.Checker
	text *Text
}

// checkAll runs all checks.
func (c *checker) checkAll() {
	c.checkDomains()
	c.checkModels()
	c.checkEngines()
	c.checkServices()
	c.checkEndpointsUnique()
	c.checkDependencies()
	c.checkRoutes()
	c.checkOrganisations()
	c.checkKeys()
	c.checkPolicy()
}

// at formats a path.
func at(format string, args ...any) string { return fmt.Sprintf(format, args...) }

// name checks the form of a name.
func (c *checker) name(path, name string, pattern *regexp.Regexp) {
	if c.Failed(path) {
		return
	}
	if name == "" {
		c.Add(path, "the name is missing", "write a name")
		return
	}
	if len(name) > maxNameLength || !pattern.MatchString(name) {
		c.Addf(path, fmt.Sprintf("use at most %d letters, digits, '.', '_' and '-', beginning with a letter or digit", maxNameLength),
			"%q is not a name", name)
	}
}

// unique reports names that stand twice in a list. pathOf gives the path of
// an entry's name.
func unique[N ~string](c *checker, names []N, pathOf func(i int) string) {
	first := map[N]int{}
	for i, name := range names {
		if name == "" {
			continue
		}
		if j, twice := first[name]; twice {
			c.Addf(pathOf(i), "give each its own", "%q stands already on line %d", name, c.Line(pathOf(j)))
			continue
		}
		first[name] = i
	}
}

// reference reports a name that the text does not define.
func reference[N ~string](c *checker, path string, name N, known []N, section string) {
	if c.Failed(path) || slices.Contains(known, name) {
		return
	}
	if name == "" {
		c.Add(path, "the name is missing", "write one of "+section)
		return
	}
	right := "add it under " + section
	if len(known) > 0 {
		right = "write one of " + listWords(known) + " or " + right
	}
	c.Addf(path, right, "%q is not under %s", name, section)
}

// listWords joins names for a message and cuts long lists.
func listWords[N ~string](names []N) string {
	const shown = 8
	out := ""
	for i, name := range names {
		if i == shown {
			return out + ", ..."
		}
		if i > 0 {
			out += ", "
		}
		out += string(name)
	}
	if out == "" {
		return "(none yet)"
	}
	return out
}

// positive reports a number that is not above zero.
func positive[N ~int | ~int64 | ~float64](c *checker, path string, v N) {
	if c.Failed(path) {
		return
	}
	if v <= 0 || math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) {
		c.Addf(path, "write a number above 0", "%v is not above 0", v)
	}
}

// notNegative reports a number below zero.
func notNegative[N ~int | ~int64 | ~float64](c *checker, path string, v N) {
	if c.Failed(path) {
		return
	}
	if v < 0 || math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) {
		c.Addf(path, "write 0 or more", "%v is below 0", v)
	}
}

// address checks an IP address with a port.
func (c *checker) address(path string, a ident.Address) {
	if c.Failed(path) {
		return
	}
	parsed, err := netip.ParseAddrPort(string(a))
	if err != nil || parsed.Port() == 0 {
		c.Addf(path, `write an IP address with a port, such as "10.0.0.7:8000"`, "%q is not an address", a)
	}
}

// domain checks the domain of an endpoint.
func (c *checker) domain(path string, d ident.DomainID) {
	reference(c, path, d, c.text.Domains, "Domains")
}

// checkDomains checks the list of failure domains.
func (c *checker) checkDomains() {
	if len(c.text.Domains) == 0 && !c.Failed("Domains") {
		c.Add("Domains", "no failure domain is named", "write Domains: [name, ...]")
	}
	for i, d := range c.text.Domains {
		c.name(at("Domains[%d]", i), string(d), namePattern)
	}
	unique(c, c.text.Domains, func(i int) string { return at("Domains[%d]", i) })
}

// checkOrganisations checks customers and their shares.
func (c *checker) checkOrganisations() {
	for i, o := range c.text.Organisations {
		c.name(at("Organisations[%d].Name", i), string(o.Name), namePattern)
		positive(c, at("Organisations[%d].RateTokensPerSecond", i), o.Rate)
		positive(c, at("Organisations[%d].BurstTokens", i), o.Burst)
	}
	unique(c, c.text.organisationNames(), func(i int) string { return at("Organisations[%d].Name", i) })
}

// checkPolicy checks the fleet-wide choices.
func (c *checker) checkPolicy() {
	notNegative(c, "Policy.BudgetSlotsPerDomain", c.text.Policy.BudgetSlotsPerDomain)
	notNegative(c, "Policy.ClaimRetentionSeconds", c.text.Policy.ClaimRetentionSeconds)
}
