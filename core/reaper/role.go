package reaper

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/config"
	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
	"monsoonfork/core/request"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
)

// methodHolds asks an instance which attempts it serves.
const methodHolds = "Reaper.Holds"

func init() {
	kernel.Register(kernel.Role{
		Name:    "Reaper",
		Summary: "frees engine memory that is held for requests of ended instances",
		After:   []string{"Membership", "Config", "Engines", "Caller"},
		Start:   start,
	})
}

// neighbours is what the reaper needs of other roles.
type neighbours struct {
	self   ident.InstanceID
	links  *link.Links
	table  *membership.Table
	holder *config.Holder
	path   *request.Path
}

// start is the role's constructor.
func start(_ context.Context, n *kernel.Node) (*kernel.Running, error) {
	with, err := findNeighbours(n)
	if err != nil {
		return nil, err
	}
	var engines *engine.Client
	if err := n.Need(&engines); err != nil {
		return nil, err
	}
	r := New(n.Log, WithMetrics(n.Metrics))
	r.Engines = with.engines
	r.LongestLimit = with.longestLimit
	r.HolderState = with.holderState
	r.Ask = with.ask
	r.List, r.Abort = engines.Requests, engines.Abort
	link.Handle(with.links, methodHolds, with.serveHolds)
	r.Run()
	return &kernel.Running{Close: r.Close, Dump: func() any { return r.Dump() }}, nil
}

// findNeighbours collects what other roles provide.
func findNeighbours(n *kernel.Node) (*neighbours, error) {
	var (
		links  *link.Links
		table  *membership.Table
		holder *config.Holder
		path   *request.Path
	)
	if err := n.Need(&links, &table, &holder, &path); err != nil {
		return nil, err
	}
	return &neighbours{self: n.ID, links: links, table: table, holder: holder, path: path}, nil
}

// engines returns the engines of the domain whose reaper is this instance: each
// has one, by rendezvous hashing over the live instances.
func (b *neighbours) engines() []text.Engine {
	snapshot := b.holder.Current()
	if snapshot == nil {
		return nil
	}
	view := b.table.View()
	domain := view.Self.Domain
	var mine []text.Engine
	for _, e := range snapshot.Text.Engines {
		if e.Domain != domain {
			continue
		}
		owner, ok := view.Owner(domain, "reaper/"+string(e.Name))
		if ok && owner.ID == b.self {
			mine = append(mine, e)
		}
	}
	return mine
}

// longestLimit returns the longest time limit of any route, or 0 before there
// is a text.
func (b *neighbours) longestLimit() time.Duration {
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

// holderState returns what membership knows of a holder.
func (b *neighbours) holderState(id ident.InstanceID) HolderState {
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

// ask asks a holder which attempts it serves.
func (b *neighbours) ask(ctx context.Context, holder ident.InstanceID, attempts []string) Answer {
	if holder == b.self {
		return Answer{Held: b.path.Holds(attempts)}
	}
	reply := &HoldsReply{}
	err := b.links.Call(ctx, holder, methodHolds, &HoldsRequest{Attempts: attempts}, reply)
	if err != nil {
		return Answer{Ended: errors.Is(err, link.ErrReplaced) || errors.Is(err, syscall.ECONNREFUSED)}
	}
	return Answer{Held: reply.GetHeld()}
}

// serveHolds answers another instance's question.
func (b *neighbours) serveHolds(_ context.Context, _ ident.InstanceID, req *HoldsRequest) (proto.Message, error) {
	return &HoldsReply{Held: b.path.Holds(req.GetAttempts())}, nil
}
