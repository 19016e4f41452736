package text

import (
	"slices"

	"monsoonfork/core/ident"
)

// checkModels checks the models.
func (c *checker) checkModels() {
	for i, m := range c.text.Models {
		path := pathf("Models[%d]", i)
		c.checkName(path+".Name", string(m.Name), modelPattern)
		checkPositive(c, path+".MinBytesPerToken", m.MinBytesPerToken)
		checkNotNegative(c, path+".BytesPerKVToken", m.BytesPerKVToken)
		checkPositive(c, path+".MaxTokens", m.MaxTokens)
		for j, adapter := range m.Adapters {
			c.checkName(pathf("%s.Adapters[%d]", path, j), adapter, modelPattern)
		}
		checkUnique(c, m.Adapters, func(j int) string { return pathf("%s.Adapters[%d]", path, j) })
	}
	checkUnique(c, c.text.modelNames(), func(i int) string { return pathf("Models[%d].Name", i) })
}

// checkEngines checks the model engines.
func (c *checker) checkEngines() {
	models := c.text.modelNames()
	for i := range c.text.Engines {
		e, path := &c.text.Engines[i], pathf("Engines[%d]", i)
		c.checkName(path+".Name", string(e.Name), namePattern)
		c.checkDomain(path+".Domain", e.Domain)
		c.checkAddress(path+".Address", e.Address)
		c.checkModelList(path+".Models", e.Models, models)
		c.checkEngineNumbers(path, e)
	}
}

// checkEngineNumbers checks that the role of an engine is present, and checks its
// numbers.
func (c *checker) checkEngineNumbers(path string, e *Engine) {
	if !c.Has(path + ".Role") {
		c.Add(path+".Role", "the role is missing", "write Prefill or Decode")
	}
	checkPositive(c, path+".Slots", e.Slots)
	checkPositive(c, path+".MemoryPieces", e.MemoryPieces)
	checkPositive(c, path+".TokensPerPiece", e.TokensPerPiece)
	checkNotNegative(c, path+".LinkBytesPerSecond", e.LinkBandwidth)
	checkNotNegative(c, path+".PrefillTokensPerSecond", e.PrefillRate)
	checkPositive(c, path+".OrderTimeoutMS", e.OrderTimeoutMS)
}

// checkModelList checks that a list of models is not empty and that each model is
// defined.
func (c *checker) checkModelList(path string, list, known []ident.ModelID) {
	if len(list) == 0 && !c.Failed(path) {
		c.Add(path, "the list of models is empty", "write at least one of "+joinNames(known))
	}
	for j, m := range list {
		checkReference(c, pathf("%s[%d]", path, j), m, known, "Models")
	}
	checkUnique(c, list, func(j int) string { return pathf("%s[%d]", path, j) })
}

// checkEndpointsUnique checks that no two endpoints, engines included, share a
// name or an address.
func (c *checker) checkEndpointsUnique() {
	var names []ident.EndpointID
	var addresses []ident.Address
	var paths []string
	for i, e := range c.text.Engines {
		names, addresses = append(names, e.Name), append(addresses, e.Address)
		paths = append(paths, pathf("Engines[%d]", i))
	}
	for i, s := range c.text.Services {
		for j, e := range s.Endpoints {
			names, addresses = append(names, e.Name), append(addresses, e.Address)
			paths = append(paths, pathf("Services[%d].Endpoints[%d]", i, j))
		}
	}
	checkUnique(c, names, func(i int) string { return paths[i] + ".Name" })
	checkUnique(c, addresses, func(i int) string { return paths[i] + ".Address" })
}

// checkModelHasEngines reports a model of a service unless there are both a prefill
// and a decode engine with it.
func (c *checker) checkModelHasEngines(path string, m ident.ModelID) {
	if c.Failed(path) {
		return
	}
	for _, role := range []EngineRole{Prefill, Decode} {
		listed := slices.ContainsFunc(c.text.Engines, func(e Engine) bool {
			return e.Role == role && slices.Contains(e.Models, m)
		})
		if !listed {
			c.Addf(path, "add the model to an engine of that role", "no %v engine has model %q", role, m)
		}
	}
}
