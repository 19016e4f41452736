package soak

import (
	"context"
	"fmt"
	"math/rand/v2"

	"monsoonfork/io/standin/control"
	"monsoonfork/io/standin/engine"
	"monsoonfork/lab/fleet"
)

// sort says what parts of the fleet a fault is on.
type sort int

// The sorts of parts.
const (
	onPrefill sort = iota
	onDecode
	onService
	onStore
	onList
	onInstance
	onDomain
	onText
)

// faultTable lists all faults.
func faultTable() []faultEntry {
	return []faultEntry{
		standInFault("prefill-refuses", onPrefill, control.Fault{Kind: control.Refuse}),
		standInFault("prefill-hangs", onPrefill, control.Fault{Kind: control.Hang}),
		standInFault("prefill-drops-answers", onPrefill, control.Fault{Kind: control.DropAnswer, Path: "/v1/completions", Count: 3}),
		standInFault("prefill-connections-freeze", onPrefill, control.Fault{Kind: control.FreezeConnections}),
		standInFault("transfer-stalls", onPrefill, control.Fault{Kind: control.StallTransfer, Count: 5}),
		standInFault("prefill-slow", onPrefill, control.Fault{Kind: control.Slow, Factor: 4}),
		standInFault("decode-refuses", onDecode, control.Fault{Kind: control.Refuse}),
		standInFault("decode-hangs", onDecode, control.Fault{Kind: control.Hang}),
		standInFault("decode-cuts-streams", onDecode, control.Fault{Kind: control.CutStream, AfterTokens: 5, Count: 5}),
		standInFault("decode-stalls-streams", onDecode, control.Fault{Kind: control.StallStream, AfterTokens: 3, Count: 3}),
		standInFault("decode-crosses-answers", onDecode, control.Fault{Kind: control.CrossAnswer, Count: 3}),
		standInFault("decode-answers-late", onDecode, control.Fault{Kind: control.LateAnswer, Path: "/v1/completions", DelayMS: 2000, Count: 3}),
		standInFault("decode-connections-freeze", onDecode, control.Fault{Kind: control.FreezeConnections}),
		standInFault("aborts-get-lost", onDecode, control.Fault{Kind: control.FailBefore, Path: "/abort_request", Probability: 0.5, Seed: 1}),
		standInFault("service-fails-before", onService, control.Fault{Kind: control.FailBefore, Count: 5}),
		standInFault("service-fails-during", onService, control.Fault{Kind: control.FailDuring, Count: 5}),
		standInFault("service-drops-answers", onService, control.Fault{Kind: control.DropAnswer, Count: 5}),
		standInFault("service-answers-late", onService, control.Fault{Kind: control.LateAnswer, DelayMS: 1500, Count: 5}),
		standInFault("service-never-answers", onService, control.Fault{Kind: control.NeverAnswer, Count: 3}),
		standInFault("service-refuses", onService, control.Fault{Kind: control.Refuse}),
		standInFault("service-connections-freeze", onService, control.Fault{Kind: control.FreezeConnections}),
		standInFault("store-refuses", onStore, control.Fault{Kind: control.Refuse}),
		standInFault("store-hangs", onStore, control.Fault{Kind: control.Hang}),
		standInFault("store-slow", onStore, control.Fault{Kind: control.Delay, DelayMS: 300}),
		standInFault("store-loses-answers", onStore, control.Fault{Kind: control.DropAnswer, Query: "cas=", Probability: 0.5, Seed: 1}),
		standInFault("store-stalls-watches", onStore, control.Fault{Kind: control.StallWatches}),
		standInFault("store-limits-rate", onStore, control.Fault{Kind: control.RateLimit, PerSecond: 5}),
		standInFault("list-lags", onList, control.Fault{Kind: control.ListLag, DelayMS: 10_000}),
		standInDies("prefill-dies", onPrefill),
		standInDies("decode-dies", onDecode),
		standInDies("service-dies", onService),
		{name: "instance-dies", sort: onInstance, begin: killInstance, finish: startInstance},
		{name: "instance-pauses", sort: onInstance, begin: pauseInstance, finish: resumeInstance},
		{name: "instance-stops", sort: onInstance, begin: stopInstance, finish: startInstance},
		{name: "instance-loses-store", sort: onInstance, begin: cutStore, finish: healStore},
		{name: "domain-is-cut-off", sort: onDomain, begin: cutDomain, finish: healDomain},
		endpointLeaves("engine-leaves", onDecode),
		endpointLeaves("service-leaves", onService),
		keyWithdrawn(),
		operatorsRace(),
		versionChanges(),
	}
}

// draw draws a part of the given sort.
func (r *run) draw(random *rand.Rand, s sort) target {
	switch s {
	case onInstance:
		n := random.IntN(len(r.fleet.Instances))
		return target{name: r.fleet.Instances[n].Name, pick: n}
	case onDomain:
		n := random.IntN(len(r.cfg.Workload.Domains))
		t := target{name: string(r.cfg.Workload.Domains[n]), pick: n}
		for _, i := range r.instancesOf(r.cfg.Workload.Domains[n]) {
			t.also = append(t.also, i.Name)
		}
		return t
	case onText:
		return target{name: "text"}
	case onPrefill, onDecode, onService, onStore, onList:
	}
	parts := r.parts(s)
	n := random.IntN(len(parts))
	return target{name: parts[n].Name, pick: n}
}

// parts returns the stand-ins of a sort.
func (r *run) parts(s sort) []*fleet.StandIn {
	switch s {
	case onService:
		return r.fleet.Services
	case onStore:
		return []*fleet.StandIn{r.fleet.Store}
	case onList:
		return []*fleet.StandIn{r.fleet.List}
	default:
		return r.engines(s)
	}
}

// engines returns the engines of a sort.
func (r *run) engines(s sort) []*fleet.StandIn {
	role := engine.DecodeRole
	if s == onPrefill {
		role = engine.PrefillRole
	}
	var parts []*fleet.StandIn
	for _, e := range r.fleet.Engines {
		if e.Role == role {
			parts = append(parts, e.StandIn)
		}
	}
	return parts
}

// standInFault returns the row of a fault that a stand-in shows on command.
func standInFault(name string, s sort, f control.Fault) faultEntry {
	return faultEntry{
		name: name,
		sort: s,
		begin: func(ctx context.Context, r *run, t target) error {
			return r.parts(s)[t.pick].Control.Inject(ctx, f)
		},
		finish: func(ctx context.Context, r *run, t target) error {
			return r.parts(s)[t.pick].Control.Clear(ctx)
		},
	}
}

// standInDies returns the row of a stand-in that is killed and started anew with
// an empty memory.
func standInDies(name string, s sort) faultEntry {
	return faultEntry{
		name: name,
		sort: s,
		begin: func(ctx context.Context, r *run, t target) error {
			// What it has seen is lost with it.
			r.checkKeysAt(ctx, r.parts(s)[t.pick])
			return r.parts(s)[t.pick].Process.Kill()
		},
		finish: func(ctx context.Context, r *run, t target) error {
			return r.fleet.RestartStandIn(ctx, r.parts(s)[t.pick])
		},
	}
}

// killInstance kills an instance.
func killInstance(_ context.Context, r *run, t target) error {
	i := r.fleet.Instances[t.pick]
	r.disturb(i, killed)
	return i.Process.Kill()
}

// startInstance starts an instance that has ended.
func startInstance(ctx context.Context, r *run, t target) error {
	i := r.fleet.Instances[t.pick]
	defer r.undisturb(i)
	return r.fleet.StartInstance(ctx, i)
}

// pauseInstance stops an instance from running, and it does not know.
func pauseInstance(_ context.Context, r *run, t target) error {
	i := r.fleet.Instances[t.pick]
	r.disturb(i, paused)
	return i.Process.Pause()
}

// resumeInstance lets a paused instance go on.
func resumeInstance(_ context.Context, r *run, t target) error {
	i := r.fleet.Instances[t.pick]
	defer r.undisturb(i)
	return i.Process.Resume()
}

// stopInstance makes a planned stop and waits for its end.
func stopInstance(ctx context.Context, r *run, t target) error {
	i := r.fleet.Instances[t.pick]
	r.disturb(i, stopped)
	if err := i.Process.Terminate(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, balancerWait+requestTimeout+stopMargin)
	defer cancel()
	if err := i.Process.Wait(ctx); err != nil {
		r.findings.add(PlannedStopCutsNone, "%s: %v", i.Name, err)
		return fmt.Errorf("planned stop: %w", err)
	}
	return nil
}

// cutStore cuts an instance off from the store. Its peers still tell it of edits.
func cutStore(_ context.Context, r *run, t target) error {
	r.fleet.Instances[t.pick].Store.Cut()
	return nil
}

// healStore ends cutStore.
func healStore(_ context.Context, r *run, t target) error {
	r.fleet.Instances[t.pick].Store.Heal()
	return nil
}
