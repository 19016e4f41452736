package text

import (
	"slices"

	"monsoonfork/core/ident"
)

// checkServices checks the services and their endpoints.
func (c *checker) checkServices() {
	for i := range c.text.Services {
		s, path := &c.text.Services[i], pathf("Services[%d]", i)
		c.checkName(path+".Name", string(s.Name), namePattern)
		if s.Kind == ModelService {
			c.checkModelService(path, s)
		} else {
			c.checkPlainService(path, s)
		}
	}
	checkUnique(c, c.text.serviceNames(), func(i int) string { return pathf("Services[%d].Name", i) })
}

// checkModelService checks a service that model engines serve.
func (c *checker) checkModelService(path string, s *Service) {
	c.checkModelList(path+".Models", s.Models, c.text.modelNames())
	for j, m := range s.Models {
		c.checkModelHasEngines(pathf("%s.Models[%d]", path, j), m)
	}
	if len(s.Endpoints) > 0 {
		c.Add(path+".Endpoints", "a model service must not have endpoints", "list engines under Engines, or write Kind: PlainService")
	}
}

// checkPlainService checks a service with its own endpoints.
func (c *checker) checkPlainService(path string, s *Service) {
	if len(s.Models) > 0 {
		c.Add(path+".Models", "a plain service must not have models", "leave Models out, or write Kind: ModelService")
	}
	if len(s.Endpoints) == 0 && !c.Failed(path+".Endpoints") {
		c.Add(path+".Endpoints", "a plain service needs an endpoint", "add one with Name, Domain and Address")
	}
	for j, e := range s.Endpoints {
		endpoint := pathf("%s.Endpoints[%d]", path, j)
		c.checkName(endpoint+".Name", string(e.Name), namePattern)
		c.checkDomain(endpoint+".Domain", e.Domain)
		c.checkAddress(endpoint+".Address", e.Address)
	}
}

// checkDependencies checks that dependencies exist and form no cycle.
func (c *checker) checkDependencies() {
	names := c.text.serviceNames()
	for i, s := range c.text.Services {
		for j, d := range s.DependsOn {
			checkReference(c, pathf("Services[%d].DependsOn[%d]", i, j), d, names, "Services")
		}
		checkUnique(c, s.DependsOn, func(j int) string { return pathf("Services[%d].DependsOn[%d]", i, j) })
		if c.dependsOnItself(s.Name) {
			c.Addf(pathf("Services[%d].DependsOn", i), "remove one dependency of the cycle", "%q depends on itself", s.Name)
		}
	}
}

// dependsOnItself reports whether a service reaches itself through DependsOn.
func (c *checker) dependsOnItself(start ident.ServiceID) bool {
	next := map[ident.ServiceID][]ident.ServiceID{}
	for _, s := range c.text.Services {
		next[s.Name] = s.DependsOn
	}
	seen := map[ident.ServiceID]bool{}
	pending := slices.Clone(next[start])
	for len(pending) > 0 {
		s := pending[0]
		pending = pending[1:]
		if s == start {
			return true
		}
		if !seen[s] {
			seen[s] = true
			pending = append(pending, next[s]...)
		}
	}
	return false
}
