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

// maxNameLength is the maximum length of a name, in bytes.
const maxNameLength = 64

// Names are used in headers, metrics, store keys and callers' keys, so they must
// not contain spaces. Names of models and adapters may also contain the usual
// separators ':', '/' and '@'.
var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@-]*$`)
)

// checker finds the problems of a decoded text.
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

// pathf formats a field path.
func pathf(format string, args ...any) string { return fmt.Sprintf(format, args...) }

// checkName checks that a name is present and valid.
func (c *checker) checkName(path, name string, pattern *regexp.Regexp) {
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

// checkUnique reports names that occur more than once in a list. pathOf returns
// the path of the i-th name.
func checkUnique[N ~string](c *checker, names []N, pathOf func(i int) string) {
	first := map[N]int{}
	for i, name := range names {
		if name == "" {
			continue
		}
		if j, duplicate := first[name]; duplicate {
			c.Addf(pathOf(i), "each must be unique", "%q is already on line %d", name, c.Line(pathOf(j)))
			continue
		}
		first[name] = i
	}
}

// checkReference reports a name that is not in known, the names defined in a
// section of the text.
func checkReference[N ~string](c *checker, path string, name N, known []N, section string) {
	if c.Failed(path) || slices.Contains(known, name) {
		return
	}
	if name == "" {
		c.Add(path, "the name is missing", "write one of "+section)
		return
	}
	remedy := "add it under " + section
	if len(known) > 0 {
		remedy = "write one of " + joinNames(known) + " or " + remedy
	}
	c.Addf(path, remedy, "%q is not defined under %s", name, section)
}

// joinNames joins names for a message. It cuts off long lists.
func joinNames[N ~string](names []N) string {
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

// checkPositive reports a number that is not above 0 or not finite.
func checkPositive[N ~int | ~int64 | ~float64](c *checker, path string, v N) {
	if c.Failed(path) {
		return
	}
	if v <= 0 || math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) {
		c.Addf(path, "write a number above 0", "%v is not above 0", v)
	}
}

// checkNotNegative reports a number that is below 0 or not finite.
func checkNotNegative[N ~int | ~int64 | ~float64](c *checker, path string, v N) {
	if c.Failed(path) {
		return
	}
	if v < 0 || math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) {
		c.Addf(path, "write 0 or more", "%v is below 0", v)
	}
}

// checkAddress checks that an address is an IP address with a port.
func (c *checker) checkAddress(path string, a ident.Address) {
	if c.Failed(path) {
		return
	}
	parsed, err := netip.ParseAddrPort(string(a))
	if err != nil || parsed.Port() == 0 {
		c.Addf(path, `write an IP address with a port, such as "10.0.0.7:8000"`, "%q is not an address", a)
	}
}

// checkDomain checks that the failure domain of an endpoint is defined.
func (c *checker) checkDomain(path string, d ident.DomainID) {
	checkReference(c, path, d, c.text.Domains, "Domains")
}

// checkDomains checks the list of failure domains.
func (c *checker) checkDomains() {
	if len(c.text.Domains) == 0 && !c.Failed("Domains") {
		c.Add("Domains", "no failure domain is named", "write Domains: [name, ...]")
	}
	for i, d := range c.text.Domains {
		c.checkName(pathf("Domains[%d]", i), string(d), namePattern)
	}
	checkUnique(c, c.text.Domains, func(i int) string { return pathf("Domains[%d]", i) })
}

// checkOrganisations checks the organisations and their rates.
func (c *checker) checkOrganisations() {
	for i, o := range c.text.Organisations {
		c.checkName(pathf("Organisations[%d].Name", i), string(o.Name), namePattern)
		checkPositive(c, pathf("Organisations[%d].RateTokensPerSecond", i), o.Rate)
		checkPositive(c, pathf("Organisations[%d].BurstTokens", i), o.Burst)
	}
	checkUnique(c, c.text.organisationNames(), func(i int) string { return pathf("Organisations[%d].Name", i) })
}

// checkPolicy checks the fleet-wide policy.
func (c *checker) checkPolicy() {
	checkNotNegative(c, "Policy.BudgetSlotsPerDomain", c.text.Policy.BudgetSlotsPerDomain)
	checkNotNegative(c, "Policy.ClaimRetentionSeconds", c.text.Policy.ClaimRetentionSeconds)
}
