package text

import (
	"net/http"
	"path"
	"slices"
	"strings"

	"monsoonfork/core/ident"
)

// methods are the HTTP methods that a route may name.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// checkRoutes checks the routes.
func (c *checker) checkRoutes() {
	for i := range c.text.Routes {
		r, routePath := &c.text.Routes[i], at("Routes[%d]", i)
		c.name(routePath+".Name", r.Name, namePattern)
		c.routePath(routePath+".Path", r.Path)
		c.routeMethod(routePath+".Method", r.Method)
		reference(c, routePath+".Service", r.Service, c.text.serviceNames(), "Services")
		c.routeNumbers(routePath, r)
		c.routeAccess(routePath, r)
		if s := c.text.findService(r.Service); s != nil && s.Kind == ModelService {
			c.modelRoute(routePath, r)
		}
	}
	names := namesOf(c.text.Routes, func(r *Route) string { return r.Name })
	unique(c, names, func(i int) string { return at("Routes[%d].Name", i) })
	c.routesDistinct()
}

// routePath checks that a path is one that a request can have.
func (c *checker) routePath(fieldPath, p string) {
	if c.Failed(fieldPath) {
		return
	}
	clean := path.Clean(p)
	if strings.HasSuffix(p, "/") && clean != "/" {
		clean += "/"
	}
	if !strings.HasPrefix(p, "/") || p != clean || strings.ContainsAny(p, "?#%* ") {
		c.Addf(fieldPath, `write an absolute path such as "/visits" or "/visits/" for all below it`, "%q is not a path", p)
	}
}

// routeMethod checks the method.
func (c *checker) routeMethod(fieldPath, method string) {
	if method != "" && !slices.Contains(methods, method) {
		c.Addf(fieldPath, "write one of "+strings.Join(methods, ", ")+", or leave it out for any", "%q is not a method", method)
	}
}

// routeNumbers checks times and cost.
func (c *checker) routeNumbers(routePath string, r *Route) {
	positive(c, routePath+".TimeoutMS", r.TimeoutMS)
	positive(c, routePath+".FirstTokenMS", r.FirstTokenMS)
	notNegative(c, routePath+".CostTokens", r.CostTokens)
	if r.FirstTokenMS > r.TimeoutMS && r.TimeoutMS > 0 {
		c.Addf(routePath+".FirstTokenMS", "write at most TimeoutMS", "%d is above TimeoutMS, %d", r.FirstTokenMS, r.TimeoutMS)
	}
}

// routeAccess checks who may use the route.
func (c *checker) routeAccess(routePath string, r *Route) {
	for j, o := range r.Organisations {
		reference(c, at("%s.Organisations[%d]", routePath, j), o, c.text.organisationNames(), "Organisations")
	}
	unique(c, r.Organisations, func(j int) string { return at("%s.Organisations[%d]", routePath, j) })
	if r.Access == Open && len(r.Organisations) > 0 {
		c.Add(routePath+".Organisations", "an open route knows no organisation", "leave Organisations out, or write Access: Keyed")
	}
	if r.Access == Open && r.CostTokens > 0 {
		c.Add(routePath+".CostTokens", "an open route is charged to nobody", "leave CostTokens out, or write Access: Keyed")
	}
	for _, o := range c.text.Organisations {
		if r.CostTokens > o.Burst && o.Burst > 0 && r.Admits(o.Name) {
			c.Addf(routePath+".CostTokens", "raise BurstTokens, lower the cost, or list the other organisations", "organisation %q can never pay %d: its burst is %d", o.Name, r.CostTokens, o.Burst)
		}
	}
}

// modelRoute checks what only routes of model services need.
func (c *checker) modelRoute(routePath string, r *Route) {
	if !r.Idempotent {
		c.Add(routePath+".Idempotent", "a model request is resumed on another engine when one fails", "write Idempotent: true")
	}
	if r.Access == Open {
		c.Add(routePath+".Access", "a model request is charged to an organisation", "write Access: Keyed")
	}
	if r.CostTokens > 0 {
		c.Add(routePath+".CostTokens", "a model request costs its own tokens", "leave CostTokens out")
	}
	if strings.HasSuffix(r.Path, "/") {
		c.Add(routePath+".Path", "a model route is one path", "leave the / at the end out")
	}
}

// routesDistinct reports two routes with one path and method. A route without
// a method stands beside those with one and takes the other methods.
func (c *checker) routesDistinct() {
	type place struct{ path, method string }
	first := map[place]int{}
	for i, r := range c.text.Routes {
		p := place{r.Path, r.Method}
		j, twice := first[p]
		if !twice {
			first[p] = i
			continue
		}
		method := r.Method
		if method == "" {
			method = "any method"
		}
		c.Addf(at("Routes[%d].Path", i), "lead each path and method to one service",
			"%s %q is already route %q on line %d", method, r.Path, c.text.Routes[j].Name, c.Line(at("Routes[%d].Path", j)))
	}
}

// findService returns the service of that name, or nil.
func (t *Text) findService(name ident.ServiceID) *Service {
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i]
		}
	}
	return nil
}
