package soak

import (
	"context"
	"fmt"
	"math/rand/v2"

	"monsoonfork/io/standin/control"
	"monsoonfork/io/standin/engine"
	"monsoonfork/lab/fleet"
)

// targetKind is the kind of component that a fault is injected into.
type targetKind int

// The kinds of targets.
const (
	prefillTarget targetKind = iota
	decodeTarget
	serviceTarget
	storeTarget
	listTarget
	instanceTarget
	domainTarget
	textTarget
)

// faultTable lists all faults.
func faultTable() []faultSpec {
	return []faultSpec{
		standInFault("prefill-refuses", prefillTarget, control.Fault{Kind: control.Refuse}),
		standInFault("prefill-hangs", prefillTarget, control.Fault{Kind: control.Hang}),
		standInFault("prefill-drops-answers", prefillTarget, control.Fault{Kind: control.DropAnswer, Path: "/v1/completions", Count: 3}),
		standInFault("prefill-connections-freeze", prefillTarget, control.Fault{Kind: control.FreezeConnections}),
		standInFault("transfer-stalls", prefillTarget, control.Fault{Kind: control.StallTransfer, Count: 5}),
		standInFault("prefill-slow", prefillTarget, control.Fault{Kind: control.Slow, Factor: 4}),
		standInFault("decode-refuses", decodeTarget, control.Fault{Kind: control.Refuse}),
		standInFault("decode-hangs", decodeTarget, control.Fault{Kind: control.Hang}),
		standInFault("decode-cuts-streams", decodeTarget, control.Fault{Kind: control.CutStream, AfterTokens: 5, Count: 5}),
		standInFault("decode-stalls-streams", decodeTarget, control.Fault{Kind: control.StallStream, AfterTokens: 3, Count: 3}),
		standInFault("decode-crosses-answers", decodeTarget, control.Fault{Kind: control.CrossAnswer, Count: 3}),
		standInFault("decode-answers-late", decodeTarget, control.Fault{Kind: control.LateAnswer, Path: "/v1/completions", DelayMS: 2000, Count: 3}),
		standInFault("decode-connections-freeze", decodeTarget, control.Fault{Kind: control.FreezeConnections}),
		standInFault("aborts-get-lost", decodeTarget, control.Fault{Kind: control.FailBefore, Path: "/abort_request", Probability: 0.5, Seed: 1}),
		standInFault("service-fails-before", serviceTarget, control.Fault{Kind: control.FailBefore, Count: 5}),
		standInFault("service-fails-during", serviceTarget, control.Fault{Kind: control.FailDuring, Count: 5}),
		standInFault("service-drops-answers", serviceTarget, control.Fault{Kind: control.DropAnswer, Count: 5}),
		standInFault("service-answers-late", serviceTarget, control.Fault{Kind: control.LateAnswer, DelayMS: 1500, Count: 5}),
		standInFault("service-never-answers", serviceTarget, control.Fault{Kind: control.NeverAnswer, Count: 3}),
		standInFault("service-refuses", serviceTarget, control.Fault{Kind: control.Refuse}),
		standInFault("service-connections-freeze", serviceTarget, control.Fault{Kind: control.FreezeConnections}),
		standInFault("prefill-malforms-heads", prefillTarget, control.Fault{Kind: control.MalformHead, Probability: 0.5, Seed: 1}),
		standInFault("decode-malforms-heads", decodeTarget, control.Fault{Kind: control.MalformHead, Probability: 0.5, Seed: 1}),
		standInFault("service-malforms-heads", serviceTarget, control.Fault{Kind: control.MalformHead, Probability: 0.5, Seed: 1}),
		standInFault("store-malforms-heads", storeTarget, control.Fault{Kind: control.MalformHead, Probability: 0.5, Seed: 1}),
		standInFault("store-refuses", storeTarget, control.Fault{Kind: control.Refuse}),
		standInFault("store-hangs", storeTarget, control.Fault{Kind: control.Hang}),
		standInFault("store-slow", storeTarget, control.Fault{Kind: control.Delay, DelayMS: 300}),
		standInFault("store-loses-answers", storeTarget, control.Fault{Kind: control.DropAnswer, Query: "cas=", Probability: 0.5, Seed: 1}),
		standInFault("store-stalls-watches", storeTarget, control.Fault{Kind: control.StallWatches}),
		standInFault("store-limits-rate", storeTarget, control.Fault{Kind: control.RateLimit, PerSecond: 5}),
		standInFault("list-lags", listTarget, control.Fault{Kind: control.ListLag, DelayMS: 10_000}),
		standInCrash("prefill-dies", prefillTarget),
		standInCrash("decode-dies", decodeTarget),
		standInCrash("service-dies", serviceTarget),
		{name: "instance-dies", kind: instanceTarget, begin: killInstance, finish: startInstance},
		{name: "instance-pauses", kind: instanceTarget, begin: pauseInstance, finish: resumeInstance},
		{name: "instance-stops", kind: instanceTarget, begin: stopInstance, finish: startInstance},
		{name: "instance-loses-store", kind: instanceTarget, begin: disconnectStore, finish: reconnectStore},
		{name: "domain-is-cut-off", kind: domainTarget, begin: isolateDomain, finish: reconnectDomain},
		endpointLeaving("engine-leaves", decodeTarget),
		endpointLeaving("service-leaves", serviceTarget),
		keyWithdrawal(),
		concurrentEdits(),
		versionChange(),
	}
}

// drawTarget draws a target of the given kind.
func (r *run) drawTarget(random *rand.Rand, kind targetKind) target {
	switch kind {
	case instanceTarget:
		n := random.IntN(len(r.fleet.Instances))
		return target{name: r.fleet.Instances[n].Name, index: n}
	case domainTarget:
		n := random.IntN(len(r.cfg.Workload.Domains))
		t := target{name: string(r.cfg.Workload.Domains[n]), index: n}
		for _, i := range r.instancesIn(r.cfg.Workload.Domains[n]) {
			t.affected = append(t.affected, i.Name)
		}
		return t
	case textTarget:
		return target{name: "text"}
	case prefillTarget, decodeTarget, serviceTarget, storeTarget, listTarget:
	}
	standIns := r.standInsOf(kind)
	n := random.IntN(len(standIns))
	return target{name: standIns[n].Name, index: n}
}

// standInsOf returns the stand-ins of a kind.
func (r *run) standInsOf(kind targetKind) []*fleet.StandIn {
	switch kind {
	case serviceTarget:
		return r.fleet.Services
	case storeTarget:
		return []*fleet.StandIn{r.fleet.Store}
	case listTarget:
		return []*fleet.StandIn{r.fleet.InstanceList}
	default:
		return r.enginesOf(kind)
	}
}

// enginesOf returns the stand-in engines with the role of a kind.
func (r *run) enginesOf(kind targetKind) []*fleet.StandIn {
	role := engine.DecodeRole
	if kind == prefillTarget {
		role = engine.PrefillRole
	}
	var standIns []*fleet.StandIn
	for _, e := range r.fleet.Engines {
		if e.Role == role {
			standIns = append(standIns, e.StandIn)
		}
	}
	return standIns
}

// standInFault returns a fault that a stand-in simulates on command.
func standInFault(name string, kind targetKind, f control.Fault) faultSpec {
	return faultSpec{
		name: name,
		kind: kind,
		begin: func(ctx context.Context, r *run, t target) error {
			return r.standInsOf(kind)[t.index].Control.Inject(ctx, f)
		},
		finish: func(ctx context.Context, r *run, t target) error {
			return r.standInsOf(kind)[t.index].Control.Clear(ctx)
		},
	}
}

// standInCrash returns the fault in which a stand-in is killed and restarted without
// its records.
func standInCrash(name string, kind targetKind) faultSpec {
	return faultSpec{
		name: name,
		kind: kind,
		begin: func(ctx context.Context, r *run, t target) error {
			// The record of received keys is lost with the process.
			r.checkKeysAtStandIn(ctx, r.standInsOf(kind)[t.index])
			return r.standInsOf(kind)[t.index].Process.Kill()
		},
		finish: func(ctx context.Context, r *run, t target) error {
			return r.fleet.RestartStandIn(ctx, r.standInsOf(kind)[t.index])
		},
	}
}

// killInstance kills an instance.
func killInstance(_ context.Context, r *run, t target) error {
	i := r.fleet.Instances[t.index]
	r.beginOutage(i, causeKilled)
	return i.Process.Kill()
}

// startInstance starts an instance that has ended.
func startInstance(ctx context.Context, r *run, t target) error {
	i := r.fleet.Instances[t.index]
	defer r.endOutage(i)
	return r.fleet.StartInstance(ctx, i)
}

// pauseInstance suspends the process of an instance, which can't notice it.
func pauseInstance(_ context.Context, r *run, t target) error {
	i := r.fleet.Instances[t.index]
	r.beginOutage(i, causePaused)
	return i.Process.Pause()
}

// resumeInstance resumes a paused instance.
func resumeInstance(_ context.Context, r *run, t target) error {
	i := r.fleet.Instances[t.index]
	defer r.endOutage(i)
	return i.Process.Resume()
}

// stopInstance begins a planned stop of an instance and waits until it has exited.
func stopInstance(ctx context.Context, r *run, t target) error {
	i := r.fleet.Instances[t.index]
	r.beginOutage(i, causeStopped)
	if err := i.Process.Terminate(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, balancerDelay+requestTimeout+stopMargin)
	defer cancel()
	if err := i.Process.Wait(ctx); err != nil {
		r.findings.add(PlannedStopCutsNone, "%s: %v", i.Name, err)
		return fmt.Errorf("planned stop: %w", err)
	}
	return nil
}

// disconnectStore cuts an instance off from the store. It still receives edits from its peers.
func disconnectStore(_ context.Context, r *run, t target) error {
	r.fleet.Instances[t.index].StoreRelay.Cut()
	return nil
}

// reconnectStore ends the fault that disconnectStore began.
func reconnectStore(_ context.Context, r *run, t target) error {
	r.fleet.Instances[t.index].StoreRelay.Heal()
	return nil
}
