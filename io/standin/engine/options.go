package engine

import (
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/io/standin/control"
)

// config is what options set.
type config struct {
	name               string
	addresses          control.Addresses
	role               Role
	models             []ModelState
	slots              int
	pieces             int
	tokensPerPiece     int
	prefillRate        float64 // Tokens a second.
	prefillBase        time.Duration
	interToken         time.Duration
	batchSlowdown      float64
	keepFor            time.Duration
	linkBytesPerSecond ident.Bytes
	bytesPerToken      ident.Bytes
	loadLag            time.Duration
	eventLag           time.Duration
	eventGaps          float64
	cacheBlocks        int
	checksFencing      bool
	orderTime          time.Duration
	timeScale          float64
	seed               uint64
}

// defaultConfig returns the settings of an engine without options.
func defaultConfig() config {
	return config{
		name:               "engine",
		addresses:          control.OnLoopback(),
		role:               DecodeRole,
		slots:              20,
		pieces:             2000,
		tokensPerPiece:     16,
		prefillRate:        20_000,
		prefillBase:        5 * time.Millisecond,
		interToken:         20 * time.Millisecond,
		batchSlowdown:      0.5,
		keepFor:            800 * time.Millisecond,
		linkBytesPerSecond: 10_000_000_000,
		bytesPerToken:      100_000,
		loadLag:            250 * time.Millisecond,
		eventLag:           200 * time.Millisecond,
		cacheBlocks:        512,
		orderTime:          50 * time.Millisecond,
		timeScale:          1,
	}
}

// Option sets up an Engine.
type Option func(*config)

// WithName sets the engine's id.
func WithName(name string) Option { return func(c *config) { c.name = name } }

// WithAddresses sets where the engine listens.
func WithAddresses(a control.Addresses) Option { return func(c *config) { c.addresses = a } }

// WithRole sets which phase the engine serves.
func WithRole(r Role) Option { return func(c *config) { c.role = r } }

// WithModels sets the models that are loaded. Without it every model is served.
func WithModels(names ...string) Option {
	return func(c *config) {
		for _, name := range names {
			c.models = append(c.models, ModelState{Name: name, Adapters: []string{}})
		}
	}
}

// WithSlots sets the number of requests that run at once.
func WithSlots(n int) Option { return func(c *config) { c.slots = n } }

// WithMemory sets the number of pieces and the tokens that one piece holds.
func WithMemory(pieces ident.Pieces, perPiece ident.Tokens) Option {
	return func(c *config) {
		c.pieces = int(pieces)
		c.tokensPerPiece = int(perPiece)
	}
}

// WithPrefill sets the prefill rate and the time that each prefill takes
// besides.
func WithPrefill(rate ident.TokensPerSecond, base time.Duration) Option {
	return func(c *config) {
		c.prefillRate = float64(rate)
		c.prefillBase = base
	}
}

// WithInterToken sets the time between two tokens of an answer when the engine
// runs one request, and the share by which a full engine is slower.
func WithInterToken(d time.Duration, slowdown float64) Option {
	return func(c *config) {
		c.interToken = d
		c.batchSlowdown = slowdown
	}
}

// WithKeepFor sets how long a prefill result waits to be pulled.
func WithKeepFor(d time.Duration) Option { return func(c *config) { c.keepFor = d } }

// WithLink sets the rate of the link in bytes a second and the size of the KV
// cache of one token.
func WithLink(bytesPerSecond, bytesPerToken ident.Bytes) Option {
	return func(c *config) {
		c.linkBytesPerSecond = bytesPerSecond
		c.bytesPerToken = bytesPerToken
	}
}

// WithLoadLag sets the age that load reports reach.
func WithLoadLag(d time.Duration) Option { return func(c *config) { c.loadLag = d } }

// WithCache sets the size of the prefix cache in blocks of 256 tokens.
func WithCache(blocks int) Option { return func(c *config) { c.cacheBlocks = blocks } }

// WithEvents sets how late cache events show, and the share that is lost.
func WithEvents(lag time.Duration, gaps float64) Option {
	return func(c *config) {
		c.eventLag = lag
		c.eventGaps = gaps
	}
}

// WithFencing sets whether orders with an old fencing number are refused.
func WithFencing(checks bool) Option { return func(c *config) { c.checksFencing = checks } }

// WithOrderTime sets the time that an order takes.
func WithOrderTime(d time.Duration) Option { return func(c *config) { c.orderTime = d } }

// WithTimeScale multiplies all times; 0.1 makes the engine ten times as fast.
func WithTimeScale(factor float64) Option { return func(c *config) { c.timeScale = factor } }

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option { return func(c *config) { c.seed = seed } }
