package text

import (
	"net/http"
	"path"
	"slices"
	"strings"

	"monsoonfork/core/ident"
)

// methods are the HTTP methods that a route may have.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// checkRoutes checks the routes.
func (c *checker) checkRoutes() {
	for i := range c.text.Routes {
		r, routePath := &c.text.Routes[i], pathf("Routes[%d]", i)
		c.checkName(routePath+".Name", r.Name, namePattern)
		c.checkRoutePath(routePath+".Path", r.Path)
		c.checkRouteMethod(routePath+".Method", r.Method)
		checkReference(c, routePath+".Service", r.Service, c.text.serviceNames(), "Services")
		c.checkRouteNumbers(routePath, r)
		c.checkRouteAccess(routePath, r)
		if s := c.text.findService(r.Service); s != nil && s.Kind == ModelService {
			c.checkModelRoute(routePath, r)
		}
	}
	names := namesOf(c.text.Routes, func(r *Route) string { return r.Name })
	checkUnique(c, names, func(i int) string { return pathf("Routes[%d].Name", i) })
	c.checkRoutesDistinct()
}

// checkRoutePath checks that a path is absolute and clean, without query, fragment,
// escapes or wildcards.
func (c *checker) checkRoutePath(fieldPath, p string) {
	if c.Failed(fieldPath) {
		return
	}
	clean := path.Clean(p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	if !strings.HasPrefix(p, "/") || p != clean || strings.ContainsAny(p, "?#%* ") {
		c.Addf(fieldPath, `write an absolute path such as "/visits" or "/visits/" for all paths below it`, "%q is not a valid path", p)
	}
}

// checkRouteMethod checks that the method is one of methods or empty.
func (c *checker) checkRouteMethod(fieldPath, method string) {
	if method != "" && !slices.Contains(methods, method) {
		c.Addf(fieldPath, "write one of "+strings.Join(methods, ", ")+", or leave it out for any method", "%q is not a method", method)
	}
}

// checkRouteNumbers checks the timeouts and the cost of a route.
func (c *checker) checkRouteNumbers(routePath string, r *Route) {
	checkPositive(c, routePath+".TimeoutMS", r.TimeoutMS)
	checkPositive(c, routePath+".FirstTokenMS", r.FirstTokenMS)
	checkNotNegative(c, routePath+".CostTokens", r.CostTokens)
	if r.FirstTokenMS > r.TimeoutMS && r.TimeoutMS > 0 {
		c.Addf(routePath+".FirstTokenMS", "write at most TimeoutMS", "%d is above TimeoutMS, %d", r.FirstTokenMS, r.TimeoutMS)
	}
}

// checkRouteAccess checks which organisations may use the route and that its cost is
// within the burst of each.
func (c *checker) checkRouteAccess(routePath string, r *Route) {
	for j, o := range r.Organisations {
		checkReference(c, pathf("%s.Organisations[%d]", routePath, j), o, c.text.organisationNames(), "Organisations")
	}
	checkUnique(c, r.Organisations, func(j int) string { return pathf("%s.Organisations[%d]", routePath, j) })
	if r.Access == Open && len(r.Organisations) > 0 {
		c.Add(routePath+".Organisations", "an open route cannot be limited to organisations", "leave Organisations out, or write Access: Keyed")
	}
	if r.Access == Open && r.CostTokens > 0 {
		c.Add(routePath+".CostTokens", "a call of an open route is charged to no organisation", "leave CostTokens out, or write Access: Keyed")
	}
	for _, o := range c.text.Organisations {
		if r.CostTokens > o.Burst && o.Burst > 0 && r.Admits(o.Name) {
			c.Addf(routePath+".CostTokens", "raise BurstTokens, lower the cost, or list the other organisations", "organisation %q can never pay the cost of %d: its burst is %d", o.Name, r.CostTokens, o.Burst)
		}
	}
}

// checkModelRoute checks the rules that apply only to routes of model services.
func (c *checker) checkModelRoute(routePath string, r *Route) {
	if !r.Idempotent {
		c.Add(routePath+".Idempotent", "a model request is resumed on another engine if its engine fails", "write Idempotent: true")
	}
	if r.Access == Open {
		c.Add(routePath+".Access", "a model request is charged to an organisation", "write Access: Keyed")
	}
	if r.CostTokens > 0 {
		c.Add(routePath+".CostTokens", "a model request is charged by its number of tokens", "leave CostTokens out")
	}
	if strings.HasSuffix(r.Path, "/") {
		c.Add(routePath+".Path", "the path of a model route must not end in /", "leave the / at the end out")
	}
}

// checkRoutesDistinct reports two routes with the same path and method. A route
// without a method may have the same path as routes with one; it then matches the
// remaining methods.
func (c *checker) checkRoutesDistinct() {
	type pathAndMethod struct{ path, method string }
	first := map[pathAndMethod]int{}
	for i, r := range c.text.Routes {
		p := pathAndMethod{r.Path, r.Method}
		j, duplicate := first[p]
		if !duplicate {
			first[p] = i
			continue
		}
		method := r.Method
		if method == "" {
			method = "any method"
		}
		c.Addf(pathf("Routes[%d].Path", i), "assign each path and method to one service",
			"%s %q is already route %q on line %d", method, r.Path, c.text.Routes[j].Name, c.Line(pathf("Routes[%d].Path", j)))
	}
}

// findService returns the service with the given name, or nil.
func (t *Text) findService(name ident.ServiceID) *Service {
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i]
		}
	}
	return nil
}
