package text

import (
	"slices"

	"monsoonfork/core/ident"
)

// checkModels checks the models.
func (c *checker) checkModels() {
	for i, m := range c.text.Models {
		path := at("Models[%d]", i)
		c.name(path+".Name", string(m.Name), modelPattern)
		positive(c, path+".MinBytesPerToken", m.MinBytesPerToken)
		notNegative(c, path+".BytesPerKVToken", m.BytesPerKVToken)
		positive(c, path+".MaxTokens", m.MaxTokens)
		for j, adapter := range m.Adapters {
			c.name(at("%s.Adapters[%d]", path, j), adapter, modelPattern)
		}
		unique(c, m.Adapters, func(j int) string { return at("%s.Adapters[%d]", path, j) })
	}
	unique(c, c.text.modelNames(), func(i int) string { return at("Models[%d].Name", i) })
}

// checkEngines checks the model engines.
func (c *checker) checkEngines() {
	models := c.text.modelNames()
	for i := range c.text.Engines {
		e, path := &c.text.Engines[i], at("Engines[%d]", i)
		c.name(path+".Name", string(e.Name), namePattern)
		c.domain(path+".Domain", e.Domain)
		c.address(path+".Address", e.Address)
		c.modelList(path+".Models", e.Models, models)
		c.engineSizes(path, e)
	}
}

// engineSizes checks the numbers of one engine.
func (c *checker) engineSizes(path string, e *Engine) {
	if !c.Has(path + ".Role") {
		c.Add(path+".Role", "the role is missing", "write Prefill or Decode")
	}
	positive(c, path+".Slots", e.Slots)
	positive(c, path+".MemoryPieces", e.MemoryPieces)
	positive(c, path+".TokensPerPiece", e.TokensPerPiece)
	notNegative(c, path+".LinkBytesPerSecond", e.LinkBytes)
	notNegative(c, path+".PrefillTokensPerSecond", e.PrefillRate)
	positive(c, path+".OrderTimeoutMS", e.OrderTimeoutMS)
}

// modelList checks a list of models that must not be empty.
func (c *checker) modelList(path string, list, known []ident.ModelID) {
	if len(list) == 0 && !c.Failed(path) {
		c.Add(path, "no model is named", "write at least one of "+listWords(known))
	}
	for j, m := range list {
		reference(c, at("%s[%d]", path, j), m, known, "Models")
	}
	unique(c, list, func(j int) string { return at("%s[%d]", path, j) })
}

// checkEndpointsUnique checks that no two endpoints, engines included, share a
// name or an address.
func (c *checker) checkEndpointsUnique() {
	var names []ident.EndpointID
	var addresses []ident.Address
	var paths []string
	for i, e := range c.text.Engines {
		names, addresses = append(names, e.Name), append(addresses, e.Address)
		paths = append(paths, at("Engines[%d]", i))
	}
	for i, s := range c.text.Services {
		for j, e := range s.Endpoints {
			names, addresses = append(names, e.Name), append(addresses, e.Address)
			paths = append(paths, at("Services[%d].Endpoints[%d]", i, j))
		}
	}
	unique(c, names, func(i int) string { return paths[i] + ".Name" })
	unique(c, addresses, func(i int) string { return paths[i] + ".Address" })
}

// checkServed reports a model of a service that no engine of a role lists.
func (c *checker) checkServed(path string, m ident.ModelID) {
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
