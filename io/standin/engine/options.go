package engine

import (
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/io/standin/control"
)

// config holds the settings that options change.
type config struct {
	name               string
	addresses          control.Addresses
	role               Role
	models             []ModelState
	slots              int
	pieces             int
	tokensPerPiece     int
	prefillRate        float64       // Tokens per second.
	prefillOverhead    time.Duration // Per prefill, in addition to the time for its tokens.
	interTokenTime     time.Duration
	batchSlowdown      float64       // Relative increase of interTokenTime at full load.
	resultTTL          time.Duration // Time until a prefill result that is not pulled expires.
	linkBytesPerSecond ident.Bytes
	bytesPerToken      ident.Bytes
	loadReportInterval time.Duration
	eventDelay         time.Duration
	eventLossRate      float64 // Probability that a cache event is lost.
	cacheBlocks        int
	checksFencing      bool
	orderDuration      time.Duration // Execution time of an order.
	timeScale          float64       // Factor for all durations.
	seed               uint64
}

// defaultConfig returns the settings of an engine without options.
func defaultConfig() config {
	return config{
		name:               "engine",
		addresses:          control.LoopbackAddresses(),
		role:               DecodeRole,
		slots:              20,
		pieces:             2000,
		tokensPerPiece:     16,
		prefillRate:        20_000,
		prefillOverhead:    5 * time.Millisecond,
		interTokenTime:     20 * time.Millisecond,
		batchSlowdown:      0.5,
		resultTTL:          800 * time.Millisecond,
		linkBytesPerSecond: 10_000_000_000,
		bytesPerToken:      100_000,
		loadReportInterval: 250 * time.Millisecond,
		eventDelay:         200 * time.Millisecond,
		cacheBlocks:        512,
		orderDuration:      50 * time.Millisecond,
		timeScale:          1,
	}
}

// Option configures an Engine.
type Option func(*config)

// WithName sets the name of the engine, which is its remote_engine_id.
func WithName(name string) Option { return func(c *config) { c.name = name } }

// WithAddresses sets the listen addresses; the default is free loopback ports.
func WithAddresses(a control.Addresses) Option { return func(c *config) { c.addresses = a } }

// WithRole sets whether the engine serves prefill or decode requests.
func WithRole(r Role) Option { return func(c *config) { c.role = r } }

// WithModels sets the loaded models. By default requests for any model are accepted.
func WithModels(names ...string) Option {
	return func(c *config) {
		for _, name := range names {
			c.models = append(c.models, ModelState{Name: name, Adapters: []string{}})
		}
	}
}

// WithSlots sets the maximum number of concurrently running requests.
func WithSlots(n int) Option { return func(c *config) { c.slots = n } }

// WithMemory sets the number of memory pieces and the number of tokens per piece.
func WithMemory(pieces ident.Pieces, perPiece ident.Tokens) Option {
	return func(c *config) {
		c.pieces = int(pieces)
		c.tokensPerPiece = int(perPiece)
	}
}

// WithPrefill sets the prefill rate and the fixed overhead of each prefill.
func WithPrefill(rate ident.TokensPerSecond, overhead time.Duration) Option {
	return func(c *config) {
		c.prefillRate = float64(rate)
		c.prefillOverhead = overhead
	}
}

// WithInterToken sets the time between two completion tokens when the engine runs
// one request, and the relative increase of this time at full load.
func WithInterToken(d time.Duration, slowdown float64) Option {
	return func(c *config) {
		c.interTokenTime = d
		c.batchSlowdown = slowdown
	}
}

// WithResultTTL sets the time after which a prefill result that is not pulled expires.
func WithResultTTL(d time.Duration) Option { return func(c *config) { c.resultTTL = d } }

// WithLink sets the rate of the network link in each direction and the size of the
// KV cache of one token.
func WithLink(bytesPerSecond, bytesPerToken ident.Bytes) Option {
	return func(c *config) {
		c.linkBytesPerSecond = bytesPerSecond
		c.bytesPerToken = bytesPerToken
	}
}

// WithLoadReportInterval sets the interval of load reports, which is their maximum age.
func WithLoadReportInterval(d time.Duration) Option {
	return func(c *config) { c.loadReportInterval = d }
}

// WithCache sets the size of the prefix cache in blocks of 256 tokens.
func WithCache(blocks int) Option { return func(c *config) { c.cacheBlocks = blocks } }

// WithEventDelivery sets the delay after which cache events become visible, and the
// probability that an event is lost.
func WithEventDelivery(delay time.Duration, lossRate float64) Option {
	return func(c *config) {
		c.eventDelay = delay
		c.eventLossRate = lossRate
	}
}

// WithFencing sets whether orders with a stale fencing number are rejected.
func WithFencing(checks bool) Option { return func(c *config) { c.checksFencing = checks } }

// WithOrderDuration sets the execution time of an order.
func WithOrderDuration(d time.Duration) Option { return func(c *config) { c.orderDuration = d } }

// WithTimeScale sets a factor for all durations; 0.1 makes the engine ten times as
// fast.
func WithTimeScale(factor float64) Option { return func(c *config) { c.timeScale = factor } }

// WithSeed sets the seed of the random loss of cache events.
func WithSeed(seed uint64) Option { return func(c *config) { c.seed = seed } }
