package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/config"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
	"monsoonfork/core/link"
	"monsoonfork/core/settings"
)

// Names of the remote methods.
const (
	methodHeartbeat = "Membership.Heartbeat"
	methodView      = "Membership.View"
)

// Parameters of heartbeats and discovery.
const (
	fanout                  = 2                      // Members of the own domain to which each heartbeat is sent.
	silentAfterMissed       = 6                      // Heartbeats that a member must miss to be silent, besides the intervals in which gossip spreads.
	remoteHeartbeatEvery    = 8                      // Heartbeats inside the domain for each one that also goes to other domains.
	remoteSilentAfterMissed = 3                      // Heartbeats to other domains without a confirmation after which their members are silent.
	refusedRecheckDelay     = 300 * time.Millisecond // Delay of the second call after a refused connection.
	discoveryInterval       = time.Second            // Interval of discovery, and timeout of its calls.
	firstRounds             = 10                     // Rounds of discovery after the start that follow each other quickly while no member is found.
	firstRoundInterval      = 250 * time.Millisecond // Interval of these rounds; links are dialled again after less.
	joinRounds              = 5                      // Rounds of discovery after the start that all read a view of another domain.
	viewReadEvery           = 30                     // Rounds of discovery for each view of another domain, after joinRounds.
	maxFirstView            = 1 << 16                // Upper bound of the random first position among the members of other domains.
	listReadEvery           = 5                      // Rounds of discovery for each read of the instance list.
	listReaders             = 2                      // Members of each domain that read the instance list.
	settleIntervals         = 4                      // Heartbeat intervals until gossip about a member agrees with its own heartbeats.
	heartbeatCallFactor     = 2                      // Timeout of a heartbeat call, in heartbeat intervals.
)

// RevisionHook is called when a member reports its configuration revision.
type RevisionHook func(from ident.InstanceID, revision ident.Revision)

// InstanceList returns the peer addresses of the instances that the platform lists as live.
// With an error, it returns those that it could read.
type InstanceList func(context.Context) ([]ident.Address, error)

// Service keeps the table of members up to date, by heartbeats and discovery.
type Service struct {
	Table *Table

	log                 log.Logger
	links               *link.Links
	holder              *config.Holder
	now                 func() time.Time
	interval            time.Duration
	firstPeers          atomic.Pointer[[]ident.Address]
	registeredAddresses atomic.Pointer[func() []ident.Address] // Further addresses for discovery, see AddDiscoverySource.
	listedAddresses     InstanceList                           // Nil if there is no instance list.

	hookMu sync.Mutex
	hooks  []RevisionHook

	heartbeatCount atomic.Int64
	lastRun        time.Time // When the heartbeat loop last ran, to detect a pause; used by that loop only.
	targetCursor   int       // Round-robin position among the local targets; used by the heartbeat loop only.
	viewCursor     int       // Round-robin position among the members of other domains; used by the discovery loop only.
	confirming     sync.Map  // Set of instance ids for which confirmGone is running.
	ctx            context.Context
	cancel         context.CancelFunc

	spawnMu sync.Mutex
	closed  bool
	wg      sync.WaitGroup // Goroutines started by spawn; Add only with spawnMu held and closed false.
}

func init() {
	kernel.Register(kernel.Role{
		Name:        "Membership",
		Summary:     "maintains the list of live instances of the domain and of some in other domains",
		Deployments: settings.Deployments{settings.OwnText, settings.Platform},
		DependsOn:   []string{"Links", "InstanceList"},
		Start:       start,
	})
}

// start starts the role. It also creates and provides the holder of the configuration, whose
// revision heartbeats carry.
func start(_ context.Context, n *kernel.Node) (*kernel.Callbacks, error) {
	var (
		links  *link.Links
		listed InstanceList
	)
	if err := n.Require(&links, &listed); err != nil {
		return nil, err
	}
	holder := config.NewHolder()
	self := Member{
		ID:              n.ID,
		Domain:          n.Settings.Domain,
		PeerAddress:     n.Settings.PeerAddress,
		OperatorAddress: n.Settings.OperatorAddress,
		Started:         n.Started,
	}
	s := newService(NewTable(self, n.Log, n.Now), links, holder, n)
	s.listedAddresses = listed
	kernel.Provide(n, holder)
	kernel.Provide(n, s.Table)
	kernel.Provide(n, s)
	s.run()
	return &kernel.Callbacks{
		AnnounceStop: func(time.Time) { s.Leave() },
		Close:        s.Close,
		Reload:       func(c *settings.Settings) { s.firstPeers.Store(&c.FirstPeers) },
		Dump:         func() any { return s.Table.Members() },
	}, nil
}

// newService returns a service and registers its remote methods. Its loops are started by
// run.
func newService(t *Table, links *link.Links, holder *config.Holder, n *kernel.Node) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		Table:    t,
		log:      t.log,
		links:    links,
		holder:   holder,
		now:      n.Now,
		interval: time.Duration(n.Settings.HeartbeatMS) * time.Millisecond,
		ctx:      ctx,
		cancel:   cancel,
		// Instances that start together ask different members first.
		viewCursor: rand.IntN(maxFirstView),
	}
	t.settleTime = settleIntervals * s.interval
	s.firstPeers.Store(&n.Settings.FirstPeers)
	links.UseMembers(t.AddressOf, s.handleCallFailure)
	link.Handle(links, methodHeartbeat, s.serveHeartbeat)
	link.Handle(links, methodView, s.serveView)
	return s
}

// AddDiscoverySource makes discovery try the addresses that f returns as well, such as
// those of the register of instances. Without them, an instance whose first peers have
// all been replaced would discover no other.
func (s *Service) AddDiscoverySource(f func() []ident.Address) { s.registeredAddresses.Store(&f) }

// run starts the heartbeat loop and the discovery loop.
func (s *Service) run() {
	s.spawn(s.heartbeatLoop)
	s.spawn(s.discoveryLoop)
}

// spawn runs f in a goroutine that Close waits for. It does nothing once s is closed.
func (s *Service) spawn(f func()) {
	s.spawnMu.Lock()
	defer s.spawnMu.Unlock()
	if s.closed {
		return
	}
	s.wg.Go(f)
}

// Close stops the loops and waits for all goroutines.
func (s *Service) Close() error {
	s.spawnMu.Lock()
	s.closed = true
	s.spawnMu.Unlock()
	s.cancel()
	s.wg.Wait()
	return nil
}

// OnRevision registers a hook that is called whenever a member reports its revision.
func (s *Service) OnRevision(hook RevisionHook) {
	s.hookMu.Lock()
	defer s.hookMu.Unlock()
	s.hooks = append(s.hooks, hook)
}

// Leave marks this daemon as leaving and sends a heartbeat to all members of its domain and
// to the remote targets at once, without waiting for the next interval.
func (s *Service) Leave() {
	s.Table.SetLeaving()
	v := s.Table.View()
	s.sendHeartbeatTo(append(s.localTargets(v), s.remoteTargets(v)...))
}

// applyHeartbeat updates the table from a received heartbeat and calls the revision hooks.
// It returns the sender, and whether its view should be fetched, as Merge does.
func (s *Service) applyHeartbeat(from ident.InstanceID, heartbeat *Heartbeat) (sender Member, needsView bool) {
	m, err := memberFromRecord(heartbeat.GetSelf())
	if err != nil {
		_ = level.Warn(s.log).Log("msg", event.PeerRecordIgnored, "from", string(from), "record", "heartbeat", "err", err)
		return Member{}, false
	}
	m.Counter = heartbeat.GetCounter()
	m.Revision = ident.Revision(heartbeat.GetRevision())
	s.Table.RecordHeartbeat(m)
	s.hookMu.Lock()
	hooks := s.hooks
	s.hookMu.Unlock()
	for _, hook := range hooks {
		hook(m.ID, m.Revision)
	}
	return m, heartbeat.GetDigest() != nil && s.Table.Merge(heartbeat.GetDigest())
}

// serveHeartbeat answers a heartbeat of another member.
func (s *Service) serveHeartbeat(_ context.Context, from ident.InstanceID, req *Heartbeat) (proto.Message, error) {
	if m, needsView := s.applyHeartbeat(from, req); needsView {
		s.fetchViewInBackground(m, req)
	}
	local := req.GetSelf().GetDomain() == string(s.Table.Self().Domain)
	return &HeartbeatReply{Heartbeat: s.newHeartbeat(local)}, nil
}

// newHeartbeat returns the heartbeat that this daemon sends now. It has a digest if local is
// true, which means that the receiver is of the same domain.
func (s *Service) newHeartbeat(local bool) *Heartbeat {
	v := s.Table.View()
	heartbeat := &Heartbeat{
		Self:     v.Self.record(),
		Revision: int64(s.holder.Revision()),
		ViewHash: v.hashes[v.Self.Domain],
		Counter:  s.heartbeatCount.Load(),
	}
	if local {
		heartbeat.Digest = s.Table.digest()
	}
	return heartbeat
}

// serveView returns the live and leaving members in this daemon's view.
func (s *Service) serveView(context.Context, ident.InstanceID, *ViewRequest) (proto.Message, error) {
	reply := &ViewReply{}
	for _, m := range s.Table.View().Members() {
		if m.State == Live || m.State == Leaving {
			reply.Members = append(reply.Members, m.record())
		}
	}
	return reply, nil
}

// fetchView fetches the view of the instance at an address and adds its members to the
// table.
func (s *Service) fetchView(ctx context.Context, address ident.Address) error {
	reply := &ViewReply{}
	remote, err := s.links.CallAddress(ctx, address, methodView, &ViewRequest{}, reply)
	if err != nil {
		return err
	}
	s.Table.mergeView(remote, reply)
	return nil
}

// showsProcessEnded reports whether a call's error shows that the called process has ended.
func showsProcessEnded(err error) bool {
	return fault.Is(err, fault.PeerUnavailable) && (isReplaced(err) || isRefused(err))
}
