package reaper

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/config"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
	"monsoonfork/core/request"
	"monsoonfork/core/text"
)

// methodHolds is the method that asks an instance which attempts it serves.
const methodHolds = "Reaper.Holds"

func init() {
	kernel.Register(kernel.Role{
		Name:      "Reaper",
		Summary:   "frees engine memory that is held for requests of ended instances",
		DependsOn: []string{"Membership", "Config", "Engines", "Caller"},
		Start:     start,
	})
}

// dependencies contains what the reaper uses of other roles.
type dependencies struct {
	self     ident.InstanceID
	links    *link.Links
	table    *membership.Table
	holder   *config.Holder
	pipeline *request.Pipeline
}

// start starts the role.
func start(_ context.Context, n *kernel.Node) (*kernel.Callbacks, error) {
	deps, err := resolveDependencies(n)
	if err != nil {
		return nil, err
	}
	var engines *engineapi.Calls
	if err := n.Require(&engines); err != nil {
		return nil, err
	}
	r := New(n.Log, WithMetrics(n.Metrics))
	r.Engines = deps.assignedEngines
	r.LongestRouteTimeout = deps.longestRouteTimeout
	r.HolderState = deps.holderState
	r.QueryHolder = deps.queryHolder
	r.ListAttempts, r.Abort = engines.Requests, engines.Abort
	link.Handle(deps.links, methodHolds, deps.serveHolds)
	r.Run()
	return &kernel.Callbacks{Close: r.Close, Dump: func() any { return r.Dump() }}, nil
}

// resolveDependencies gets the objects that other roles provide.
func resolveDependencies(n *kernel.Node) (*dependencies, error) {
	var (
		links    *link.Links
		table    *membership.Table
		holder   *config.Holder
		pipeline *request.Pipeline
	)
	if err := n.Require(&links, &table, &holder, &pipeline); err != nil {
		return nil, err
	}
	return &dependencies{self: n.ID, links: links, table: table, holder: holder, pipeline: pipeline}, nil
}

// assignedEngines returns the engines of the local failure domain that are assigned
// to this instance. Rendezvous hashing assigns each to one live instance.
func (b *dependencies) assignedEngines() []text.Engine {
	snapshot := b.holder.Current()
	if snapshot == nil {
		return nil
	}
	view := b.table.View()
	domain := view.Self.Domain
	var assigned []text.Engine
	for _, e := range snapshot.Text.Engines {
		if e.Domain != domain {
			continue
		}
		owner, ok := view.Owner(domain, "reaper/"+string(e.Name))
		if ok && owner.ID == b.self {
			assigned = append(assigned, e)
		}
	}
	return assigned
}

// longestRouteTimeout returns the longest timeout of any route, or 0 before the first
// configuration is loaded.
func (b *dependencies) longestRouteTimeout() time.Duration {
	snapshot := b.holder.Current()
	if snapshot == nil {
		return 0
	}
	var longest int64
	for _, r := range snapshot.Text.Routes {
		longest = max(longest, r.TimeoutMS)
	}
	return time.Duration(longest) * time.Millisecond
}

// holderState returns the state of a holder according to membership. A member that is
// unresponsive or not in the table may still be alive.
func (b *dependencies) holderState(id ident.InstanceID) HolderState {
	m, ok := b.table.View().Member(id)
	switch {
	case !ok:
		return Unknown
	case m.State == membership.Gone:
		return Ended
	case m.State == membership.Silent:
		return Unknown
	}
	return Alive
}

// queryHolder asks a holder which attempts it serves. A refused connection, or another
// process at the address, is reported as Ended; any other failure as no reply.
func (b *dependencies) queryHolder(ctx context.Context, holder ident.InstanceID, attempts []string) HolderReply {
	if holder == b.self {
		return HolderReply{Held: b.pipeline.ServesAttempts(attempts)}
	}
	reply := &HoldsReply{}
	err := b.links.Call(ctx, holder, methodHolds, &HoldsRequest{Attempts: attempts}, reply)
	if err != nil {
		return HolderReply{Ended: errors.Is(err, link.ErrReplaced) || errors.Is(err, syscall.ECONNREFUSED)}
	}
	return HolderReply{Held: reply.GetHeld()}
}

// serveHolds answers the query of another instance.
func (b *dependencies) serveHolds(_ context.Context, _ ident.InstanceID, req *HoldsRequest) (proto.Message, error) {
	return &HoldsReply{Held: b.pipeline.ServesAttempts(req.GetAttempts())}, nil
}
