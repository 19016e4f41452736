package main

import (
	"context"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/io/standin/engine"
)

// engineCommand serves an engine.
type engineCommand struct {
	listenFlags
	Name           string        `default:"engine" help:"Id of the engine."`
	Role           string        `enum:"prefill,decode" default:"decode" help:"Phase that it serves."`
	Models         []string      `help:"Models that are loaded; none means that all are served."`
	Slots          int           `default:"20" help:"Requests that run at once."`
	Pieces         int64         `default:"2000" help:"Size of the memory in pieces."`
	TokensPerPiece int64         `default:"16" help:"Tokens that one piece holds."`
	PrefillRate    float64       `default:"20000" help:"Prompt tokens a second."`
	PrefillBase    time.Duration `default:"5ms" help:"Time that each prefill takes besides."`
	InterToken     time.Duration `default:"20ms" help:"Time between two tokens with one request."`
	BatchSlowdown  float64       `default:"0.5" help:"Share by which a full engine is slower."`
	KeepFor        time.Duration `default:"800ms" help:"Time that a prefill result waits to be pulled."`
	LinkBytes      int64         `default:"10000000000" help:"Rate of the link in bytes a second."`
	BytesPerToken  int64         `default:"100000" help:"Size of the KV cache of one token."`
	LoadLag        time.Duration `default:"250ms" help:"Age that load reports reach."`
	CacheBlocks    int           `default:"512" help:"Size of the prefix cache in blocks of 256 tokens."`
	EventLag       time.Duration `default:"200ms" help:"Time after which cache events show."`
	EventGaps      float64       `default:"0" help:"Share of the cache events that is lost."`
	ChecksFencing  bool          `help:"Refuse orders with an old fencing number."`
	OrderTime      time.Duration `default:"50ms" help:"Time that an order takes."`
	TimeScale      float64       `default:"1" help:"Factor on all times."`
	Seed           uint64        `default:"1" help:"Seed of random choices."`
}

// Help is the usage text of the verb.
func (c *engineCommand) Help() string {
	return `Serves a model engine without a model: the times, limits and failures are those
of an engine, and the answer to a prompt is always the same. Prints one line of
JSON with its addresses when it serves. Faults are commanded by
POST /control/fault on the control address, for example
  {"Kind":"CutStream","AfterTokens":3,"Count":1}`
}

// Run implements the verb.
func (c *engineCommand) Run(ctx context.Context) error {
	role := engine.DecodeRole
	if c.Role == engine.PrefillRole.String() {
		role = engine.PrefillRole
	}
	return serveUntilDone(ctx, engine.New(
		engine.WithAddresses(c.addresses()),
		engine.WithName(c.Name),
		engine.WithRole(role),
		engine.WithModels(c.Models...),
		engine.WithSlots(c.Slots),
		engine.WithMemory(ident.Pieces(c.Pieces), ident.Tokens(c.TokensPerPiece)),
		engine.WithPrefill(ident.TokensPerSecond(c.PrefillRate), c.PrefillBase),
		engine.WithInterToken(c.InterToken, c.BatchSlowdown),
		engine.WithKeepFor(c.KeepFor),
		engine.WithLink(ident.Bytes(c.LinkBytes), ident.Bytes(c.BytesPerToken)),
		engine.WithLoadLag(c.LoadLag),
		engine.WithCache(c.CacheBlocks),
		engine.WithEvents(c.EventLag, c.EventGaps),
		engine.WithFencing(c.ChecksFencing),
		engine.WithOrderTime(c.OrderTime),
		engine.WithTimeScale(c.TimeScale),
		engine.WithSeed(c.Seed),
	))
}
