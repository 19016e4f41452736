package rig

// Tenant is a tenant of a configuration.
type Tenant struct {
	Name string
	Keys []string
}

// Configure writes a configuration with one safe and one unsafe route to a plain service.
func (r *Rig) Configure(version int, service string, tenants ...Tenant) error {
	list := make([]map[string]any, 0, len(tenants))
	for _, t := range tenants {
		list = append(list, map[string]any{
			"name": t.Name, "api-keys": t.Keys, "priority": 1, "unit": "token_stream", "plain-tokens": 200,
			"rate-per-s": 1_000_000, "burst": 1_000_000,
		})
	}
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "prefix": prefix, "kind": kind, "timeout-ms": 1500, "target-latency-ms": 100,
			"priority": 2, "service": service, "attempts": attempts, "public": false,
		}
	}
	err := r.Store.Put("op/config", map[string]any{
		"version":  version,
		"routes":   []any{route("r-look", "/look/", "safe", 2), route("r-book", "/book/", "unsafe", 1)},
		"services": []any{map[string]any{"name": service, "health-path": "/healthz", "max-connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  list,
	})
	r.Record.Add("store: configuration", "version", version, "tenants", tenants)
	return err
}
