// Package relay distributes the newest configuration text: it reads it from the
// store, or pulls it from other instances, into the holder of this process.
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

// Intervals, timeouts and counts of the role.
const (
	relaysPerDomain          = 2
	watchWait                = 10 * time.Second
	rereadInterval           = time.Second
	relayCheckInterval       = 200 * time.Millisecond // Between checks whether this instance is a relay.
	watchRetryDelay          = 500 * time.Millisecond // Delay after a failed watch.
	bootstrapInterval        = 200 * time.Millisecond // Between pulls from all instances while there is no snapshot.
	callTimeout              = time.Second
	announceTargetsPerDomain = 2 // Instances of each other domain that receive announcements.
)

// relayRankKey is the key of the rendezvous hashing that selects the relays among
// the instances of a domain.
const relayRankKey = "config-relay"

// Service runs the role Config in an instance.
type Service struct {
	holder     *config.Holder
	store      *keyvalue.Client
	table      *membership.Table
	links      *link.Links
	log        log.Logger
	now        func() time.Time
	firstPeers []ident.Address

	announceSignal    chan struct{}      // Holds one signal while a new revision is to be announced.
	candidates        chan pullCandidate // Holds the instance with the highest revision that is still to be pulled.
	highestPulled     atomic.Int64       // Highest revision that was pulled from another instance.
	confirmedUnixMS   atomic.Int64       // Time of the store's last confirmation of the newest revision, in Unix ms.
	pullReplies       pullReplyCache
	staleAnswers      metrics.Counter
	revisionsAccepted metrics.Counter

	ctx         context.Context
	cancel      context.CancelFunc
	unsubscribe func()
	wg          sync.WaitGroup
}

// pullCandidate is an instance with a revision to pull.
type pullCandidate struct {
	from     ident.InstanceID
	revision ident.Revision
}

func init() {
	kernel.Register(kernel.Role{
		Name:      "Config",
		Summary:   "holds the newest configuration text, read from the store or pulled from other instances",
		DependsOn: []string{"Membership", "Store"},
		Start:     start,
	})
}

// start creates and runs the service of the role.
func start(_ context.Context, n *kernel.Node) (*kernel.Callbacks, error) {
	s := &Service{log: log.With(n.Log, "part", "Config"), now: n.Now, firstPeers: n.Settings.FirstPeers}
	var members *membership.Service
	if err := n.Require(&s.holder, &s.store, &s.table, &s.links, &members); err != nil {
		return nil, err
	}
	s.prepare(n.Metrics)
	members.OnRevision(s.noteRevision)
	kernel.Provide(n, s)
	kernel.Provide(n, &config.Applier{Store: s.store, Holder: s.holder, Now: n.Now})
	s.run()
	return &kernel.Callbacks{Close: s.Close, Dump: s.dump, Ready: s.ready}, nil
}

// prepare creates the channels and counters and registers the methods.
func (s *Service) prepare(r metrics.Registry) {
	s.announceSignal = make(chan struct{}, 1)
	s.candidates = make(chan pullCandidate, 1)
	s.staleAnswers = metrics.GetOrRegisterCounter("Config.StaleAnswers", r)
	s.revisionsAccepted = metrics.GetOrRegisterCounter("Config.RevisionsTaken", r)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.register()
}

// run subscribes to the holder and starts the loops.
func (s *Service) run() {
	// The callback runs under the holder's lock, so it only sends a signal
	// without blocking.
	s.unsubscribe = s.holder.Subscribe(func(*config.Snapshot) {
		select {
		case s.announceSignal <- struct{}{}:
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

// Close stops the loops and waits until they have ended.
func (s *Service) Close() error {
	s.unsubscribe()
	s.cancel()
	s.wg.Wait()
	return nil
}

// ready returns an error while the instance has no configuration text.
func (s *Service) ready() error {
	if s.holder.Current() == nil {
		return fault.New(fault.StoreUnavailable, "no configuration text was received yet")
	}
	return nil
}

// acceptSnapshot offers a snapshot to the holder, and logs and counts the result.
// source is its origin for the log.
func (s *Service) acceptSnapshot(snapshot *config.Snapshot, source string) {
	before := s.holder.Revision()
	if !s.holder.Update(snapshot) {
		s.staleAnswers.Inc(1)
		return
	}
	s.revisionsAccepted.Inc(1)
	after := s.holder.Revision()
	invariant.Check(s.log, "RevisionOnlyGrows", after > before && after >= snapshot.Revision,
		"before", before, "after", after, "offered", snapshot.Revision)
	_ = level.Info(s.log).Log("msg", event.RevisionInForce, "revision", snapshot.Revision, "edit", snapshot.EditID, "from", source)
}

// isRelay reports whether this instance is one of the relays of its domain.
func (s *Service) isRelay() bool {
	v := s.table.View()
	for i, m := range v.Ranked(v.Self.Domain, relayRankKey) {
		if i == relaysPerDomain {
			return false
		}
		if m.ID == v.Self.ID {
			return true
		}
	}
	return false
}

// sleep waits for d. It returns false if the role was closed meanwhile.
func (s *Service) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.ctx.Done():
		return false
	}
}

// stateDump is the state of the role in dumps for operators.
type stateDump struct {
	Revision     ident.Revision
	EditID       string
	Digest       string
	Received     time.Time
	Relay        bool
	Confirmed    time.Time
	StaleAnswers int64
}

// dump returns the state of the role for operators.
func (s *Service) dump() any {
	d := stateDump{Relay: s.isRelay(), Confirmed: s.LastConfirmed(), StaleAnswers: s.staleAnswers.Count()}
	if c := s.holder.Current(); c != nil {
		d.Revision, d.EditID, d.Digest, d.Received = c.Revision, c.EditID, c.Digest, c.Received
	}
	return d
}
