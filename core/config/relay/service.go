// Package relay brings the newest configuration text from the store, or from
// other instances, into the holder of this process.
package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/config"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/kernel"
	"monsoonfork/core/keyvalue"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
)

// Times and numbers of the role.
const (
	relaysPerDomain  = 2
	watchWait        = 10 * time.Second
	rereadInterval   = time.Second
	idleInterval     = 200 * time.Millisecond // Between looks whether this instance is a relay.
	storePause       = 500 * time.Millisecond // After a failed watch.
	bootstrapPause   = 200 * time.Millisecond // Between rounds of asking while there is no revision.
	callTimeout      = time.Second
	announcedDomains = 2 // Instances of each other domain that get announcements.
)

// relayKey ranks the instances of a domain as relays.
const relayKey = "config-relay"

// Service is the running role.
type Service struct {
	holder     *config.Holder
	store      *keyvalue.Client
	table      *membership.Table
	links      *link.Links
	log        log.Logger
	now        func() time.Time
	firstPeers []ident.Address

	announce  chan struct{}  // Holds a token when a new revision is to be announced.
	candidate chan candidate // The last instance that told of a higher revision.
	pulled    atomic.Int64   // Highest revision that was taken from another instance.
	confirmed atomic.Int64   // When the store confirmed the newest revision, in Unix ms.
	replies   packedReplies
	stale     metrics.Counter
	offered   metrics.Counter

	ctx         context.Context
	cancel      context.CancelFunc
	unsubscribe func()
	wg          sync.WaitGroup
}

// candidate is an instance that has a revision.
type candidate struct {
	from     ident.InstanceID
	revision ident.Revision
}

func init() {
	kernel.Register(kernel.Role{
		Name:    "Config",
		Summary: "holds the newest text; takes it from the store or from other instances",
		After:   []string{"Membership", "Store"},
		Start:   start,
	})
}

// start is the role's constructor.
func start(_ context.Context, n *kernel.Node) (*kernel.Running, error) {
	s := &Service{log: log.With(n.Log, "part", "Config"), now: n.Now, firstPeers: n.Settings.FirstPeers}
	var members *membership.Service
	if err := n.Need(&s.holder, &s.store, &s.table, &s.links, &members); err != nil {
		return nil, err
	}
	s.prepare(n.Metrics)
	members.OnRevision(s.hear)
	kernel.Provide(n, s)
	kernel.Provide(n, &config.Applier{Store: s.store, Holder: s.holder, Now: n.Now})
	s.run()
	return &kernel.Running{Close: s.Close, Dump: s.dump, Ready: s.ready}, nil
}

// prepare makes channels and counters and registers the methods.
func (s *Service) prepare(r metrics.Registry) {
	s.announce = make(chan struct{}, 1)
	s.candidate = make(chan candidate, 1)
	s.stale = metrics.GetOrRegisterCounter("Config.StaleAnswers", r)
	s.offered = metrics.GetOrRegisterCounter("Config.RevisionsTaken", r)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.register()
}

// run starts the loops.
func (s *Service) run() {
	// The subscriber runs under the holder's lock, so it only leaves a token.
	s.unsubscribe = s.holder.Subscribe(func(*config.Snapshot) {
		select {
		case s.announce <- struct{}{}:
		default:
		}
	})
	loops := []func(){s.watchLoop, s.rereadLoop, s.announceLoop, s.pullLoop, s.bootstrapLoop, s.confirmLoop}
	for _, loop := range loops {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			loop()
		}()
	}
}

// Close ends the loops and waits for them.
func (s *Service) Close() error {
	s.unsubscribe()
	s.cancel()
	s.wg.Wait()
	return nil
}

// ready says why the instance cannot serve: it has no text.
func (s *Service) ready() error {
	if s.holder.Current() == nil {
		return fault.New(fault.StoreUnavailable, "no configuration text was received yet")
	}
	return nil
}

// take offers a snapshot to the holder.
func (s *Service) take(snapshot *config.Snapshot, source string) {
	before := s.holder.Revision()
	if !s.holder.Offer(snapshot) {
		s.stale.Inc(1)
		return
	}
	s.offered.Inc(1)
	after := s.holder.Revision()
	invariant.Check(s.log, "RevisionOnlyGrows", after > before && after >= snapshot.Revision,
		"before", before, "after", after, "offered", snapshot.Revision)
	_ = level.Info(s.log).Log("msg", event.RevisionInForce, "revision", snapshot.Revision, "edit", snapshot.EditID, "from", source)
}

// isRelay reports whether this instance is one of the relays of its domain.
func (s *Service) isRelay() bool {
	v := s.table.View()
	for i, m := range v.Ranked(v.Self.Domain, relayKey) {
		if i == relaysPerDomain {
			return false
		}
		if m.ID == v.Self.ID {
			return true
		}
	}
	return false
}

// sleep waits, and reports whether the role goes on.
func (s *Service) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.ctx.Done():
		return false
	}
}

// state is the dump of the role.
type state struct {
	Revision     ident.Revision
	EditID       string
	Digest       string
	Received     time.Time
	Relay        bool
	Confirmed    time.Time
	StaleAnswers int64
}

// dump returns the state for operators.
func (s *Service) dump() any {
	d := state{Relay: s.isRelay(), Confirmed: s.Confirmed(), StaleAnswers: s.stale.Count()}
	if c := s.holder.Current(); c != nil {
		d.Revision, d.EditID, d.Digest, d.Received = c.Revision, c.EditID, c.Digest, c.Received
	}
	return d
}
