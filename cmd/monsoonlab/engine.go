package main

import (
	"context"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/io/standin/engine"
)

// engineCommand is the verb engine, which serves a stand-in model engine.
type engineCommand struct {
	listenFlags
	Name           string        `default:"engine" help:"ID of the engine."`
	Role           string        `enum:"prefill,decode" default:"decode" help:"Phase that the engine serves."`
	Models         []string      `help:"Loaded models; none means that every model is served."`
	Slots          int           `default:"20" help:"Maximum number of concurrent requests."`
	Pieces         int64         `default:"2000" help:"Size of the KV cache memory in pieces."`
	TokensPerPiece int64         `default:"16" help:"Tokens per piece."`
	PrefillRate    float64       `default:"20000" help:"Prefill rate in prompt tokens per second."`
	PrefillBase    time.Duration `default:"5ms" help:"Fixed time added to each prefill."`
	InterToken     time.Duration `default:"20ms" help:"Time between two output tokens when one request runs."`
	BatchSlowdown  float64       `default:"0.5" help:"Fraction by which a full engine is slower."`
	KeepFor        time.Duration `default:"800ms" help:"Time for which a prefill result is kept for transfer."`
	LinkBytes      int64         `default:"10000000000" help:"Bandwidth of the link in bytes per second."`
	BytesPerToken  int64         `default:"100000" help:"Size of the KV cache of one token in bytes."`
	LoadLag        time.Duration `default:"250ms" help:"Maximum age of load reports."`
	CacheBlocks    int           `default:"512" help:"Size of the prefix cache in blocks of 256 tokens."`
	EventLag       time.Duration `default:"200ms" help:"Delay of cache events."`
	EventGaps      float64       `default:"0" help:"Fraction of the cache events that is lost."`
	ChecksFencing  bool          `help:"Refuse orders with an old fencing number."`
	OrderTime      time.Duration `default:"50ms" help:"Duration of an order."`
	TimeScale      float64       `default:"1" help:"Factor on all times."`
	Seed           uint64        `default:"1" help:"Seed of the random choices."`
}

// Help is the usage text of the verb.
func (c *engineCommand) Help() string {
	return `Simulates a model engine without a model: it has the latencies, limits and
failures of an engine, and always gives the same answer to a prompt. Prints one
line of JSON with its addresses once it serves. Faults are injected with
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
		engine.WithResultTTL(c.KeepFor),
		engine.WithLink(ident.Bytes(c.LinkBytes), ident.Bytes(c.BytesPerToken)),
		engine.WithLoadReportInterval(c.LoadLag),
		engine.WithCache(c.CacheBlocks),
		engine.WithEventDelivery(c.EventLag, c.EventGaps),
		engine.WithFencing(c.ChecksFencing),
		engine.WithOrderDuration(c.OrderTime),
		engine.WithTimeScale(c.TimeScale),
		engine.WithSeed(c.Seed),
	))
}
