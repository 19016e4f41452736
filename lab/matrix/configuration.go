package matrix

import (
	"fmt"
	"strings"
	"time"

	"monsoonfork/platform/standin"
)

// Names and times of the configuration.
const (
	routeHost     = "shop.example"
	owner         = "owner"
	ownerKey      = "key-owner"
	otherPlain    = "plain-b"
	otherModel    = "model-b"
	fullModel     = "model-full"
	plainTimeout  = 15 * time.Second
	streamTimeout = 20 * time.Second
	lateTarget    = 5 * time.Second        // Of routes whose requests wait without a hedge.
	hedgeTarget   = 100 * time.Millisecond // Of the route whose requests are hedged.
)

// routePrefix returns the prefix of the route of a row.
func routePrefix(r Row) string {
	kind := strings.ToLower(r.Kind.String())
	switch r.State {
	case Hedged:
		return "/hedged/"
	case WaitingForMemory:
		return "/full-" + kind + "/"
	default:
		return "/" + kind + "/"
	}
}

// initialConfiguration returns the configuration before the event.
func initialConfiguration() standin.Configuration {
	c := standin.Configuration{
		Version: 1,
		Organisations: []standin.Organisation{
			{Name: owner, Keys: []string{ownerKey}},
			{Name: "other", Keys: []string{"key-other"}},
		},
		ModelServices: []string{otherModel, fullModel},
		PlainServices: []string{otherPlain},
		Routes:        []standin.Route{{Host: routeHost, Prefix: "/hedged/", Timeout: plainTimeout, TargetLatency: hedgeTarget}},
	}
	for k := range kindCount {
		route := standin.Route{
			Host: routeHost, Prefix: routePrefix(Row{AtEngine, k}), Stream: k.isStream(), AtMostOnce: k.maxRuns() == 1,
			Timeout: plainTimeout, TargetLatency: lateTarget,
		}
		if k.isStream() {
			route.Timeout, route.TargetLatency = streamTimeout, 0
		}
		c.Routes = append(c.Routes, route)
		if k.isStream() {
			route.Prefix, route.Service, route.TargetLatency = routePrefix(Row{WaitingForMemory, k}), fullModel, lateTarget
			c.Routes = append(c.Routes, route)
		}
	}
	return c
}

// changeRoutes returns the change of all routes by a function.
func changeRoutes(change func(*standin.Route)) func(*standin.Configuration) {
	return func(c *standin.Configuration) {
		routes := make([]standin.Route, len(c.Routes))
		for i, r := range c.Routes {
			change(&r)
			routes[i] = r
		}
		c.Routes = routes
	}
}

// otherService returns the service to which the requests of a route are moved.
func otherService(r standin.Route) string {
	if r.Stream {
		return otherModel
	}
	return otherPlain
}

// addRoutes returns the change that adds routes.
func addRoutes(name string, count int) func(*standin.Configuration) {
	return func(c *standin.Configuration) {
		for n := range count {
			c.Routes = append(c.Routes, standin.Route{Host: routeHost, Prefix: fmt.Sprintf("/%s-%d/", name, n)})
		}
	}
}
