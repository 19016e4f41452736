package membership

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/config"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
	"monsoonfork/core/link"
	"monsoonfork/core/settings"
	"monsoonfork/io/instancelist"
	"monsoonfork/io/peer"
)

// Names of the methods that members call.
const (
	methodHeartbeat = "Membership.Heartbeat"
	methodView      = "Membership.View"
)

// Times and numbers of heartbeats.
const (
	fanout              = 2                      // Members of the own domain that get each heartbeat.
	silenceHeartbeats   = 6                      // Missed heartbeats, besides those that news needs to spread, that make a member silent.
	remoteEvery         = 8                      // Heartbeats to other domains are this much rarer.
	remoteSilence       = 3                      // Missed heartbeats that make a domain's members silent.
	refusedConfirm      = 300 * time.Millisecond // A refusing address is asked again after this time.
	firstPeersInterval  = time.Second
	listEvery           = 5 // The instance list is read this much more rarely than first peers are asked.
	listReaders         = 2 // Members of a domain that read the list.
	heartbeatCallFactor = 2 // A heartbeat call may take this many intervals.
)

// RevisionHook is called when a member reports a revision.
type RevisionHook func(from ident.InstanceID, revision ident.Revision)

// Service keeps the table up to date.
type Service struct {
	Table *Table

	log        log.Logger
	links      *peer.Links
	holder     *config.Holder
	now        func() time.Time
	interval   time.Duration
	firstPeers atomic.Pointer[[]ident.Address]
	registered atomic.Pointer[func() []ident.Address]                 // See FindAlsoAt.
	listed     func(context.Context) ([]instancelist.Instance, error) // Nil without an instance list.

	hookMu sync.Mutex
	hooks  []RevisionHook

	tick   atomic.Int64
	last   time.Time // Used by the heartbeat loop only.
	turn   int       // Used by the heartbeat loop only.
	asked  sync.Map  // Instance ids that are being asked whether they have ended.
	ctx    context.Context
	cancel context.CancelFunc

	spawnMu sync.Mutex
	closed  bool
	wg      sync.WaitGroup // Added to under spawnMu while not closed.
}

func init() {
	kernel.Register(kernel.Role{
		Name:    "Membership",
		Summary: "knows the live instances of the domain and some of others",
		On:      settings.Deployments{settings.OwnText, settings.Platform},
		Start:   start,
	})
}

// start is the role's constructor. It also makes the links and the holder of
// the configuration, which heartbeats carry the revision of.
func start(_ context.Context, n *kernel.Node) (*kernel.Running, error) {
	links, err := listenLinks(n)
	if err != nil {
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
	kernel.Provide(n, links)
	kernel.Provide(n, links.Seam())
	kernel.Provide(n, holder)
	kernel.Provide(n, s.Table)
	kernel.Provide(n, s)
	s.run()
	return &kernel.Running{
		Leave:  func(time.Time) { s.Leave() },
		Close:  s.Close,
		Reload: func(c *settings.Settings) { s.firstPeers.Store(&c.FirstPeers) },
		Dump:   func() any { return s.Table.View().Members() },
	}, nil
}

// listenLinks makes the links of a node.
func listenLinks(n *kernel.Node) (*peer.Links, error) {
	opts := []peer.Option{peer.WithMetrics(n.Metrics)}
	if n.Settings.TLS.Enabled() {
		cfg, err := peer.LoadTLS(n.Settings.TLS)
		if err != nil {
			return nil, err
		}
		opts = append(opts, peer.WithTLS(cfg))
	}
	if host, _, err := net.SplitHostPort(string(n.Settings.PeerAddress)); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			opts = append(opts, peer.WithLocalIP(ip))
		}
	}
	links := peer.New(n.ID, n.Settings.Domain, n.Log, opts...)
	if _, err := links.Listen(n.Settings.PeerAddress); err != nil {
		return nil, err
	}
	return links, nil
}

// newService returns a service whose loops do not run yet.
func newService(t *Table, links *peer.Links, holder *config.Holder, n *kernel.Node) *Service {
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
	}
	s.firstPeers.Store(&n.Settings.FirstPeers)
	if n.Settings.InstanceListAddress != "" {
		s.listed = instancelist.New(n.Settings.InstanceListAddress).Instances
	}
	links.AddressOf = t.AddressOf
	links.Unreachable = s.unreachable
	seam := links.Seam()
	link.Handle(seam, methodHeartbeat, s.serveHeartbeat)
	link.Handle(seam, methodView, s.serveView)
	return s
}

// FindAlsoAt has instances looked for at the addresses that f returns too, such as those
// of a register: first peers may all have been replaced.
func (s *Service) FindAlsoAt(f func() []ident.Address) { s.registered.Store(&f) }

// run starts the loops.
func (s *Service) run() {
	s.spawn(s.heartbeatLoop)
	s.spawn(s.discoveryLoop)
}

// spawn runs f in a goroutine that Close waits for, unless s is closed.
func (s *Service) spawn(f func()) {
	s.spawnMu.Lock()
	defer s.spawnMu.Unlock()
	if s.closed {
		return
	}
	s.wg.Go(f)
}

// Close stops the loops and the links, and waits.
func (s *Service) Close() error {
	s.spawnMu.Lock()
	s.closed = true
	s.spawnMu.Unlock()
	s.cancel()
	s.wg.Wait()
	return s.links.Close()
}

// OnRevision calls hook whenever a member reports its revision.
func (s *Service) OnRevision(hook RevisionHook) {
	s.hookMu.Lock()
	defer s.hookMu.Unlock()
	s.hooks = append(s.hooks, hook)
}

// Leave marks this daemon as leaving and tells the others at once.
func (s *Service) Leave() {
	s.Table.SetLeaving()
	v := s.Table.View()
	s.send(append(s.localTargets(v), s.remoteTargets(v)...))
}

// heard takes over what a heartbeat tells. It reports whether it names members
// that are not known here.
func (s *Service) heard(beat *Heartbeat) (unknown bool) {
	r := beat.GetSelf()
	if r.GetInstance() == "" || r.GetDomain() == "" {
		return false
	}
	m := memberFrom(r)
	m.Counter = beat.GetCounter()
	m.Revision = ident.Revision(beat.GetRevision())
	s.Table.Heard(m)
	s.hookMu.Lock()
	hooks := s.hooks
	s.hookMu.Unlock()
	for _, hook := range hooks {
		hook(m.ID, m.Revision)
	}
	return beat.GetDigest() != nil && s.Table.Merge(beat.GetDigest())
}

// serveHeartbeat answers a heartbeat of another member.
func (s *Service) serveHeartbeat(_ context.Context, _ ident.InstanceID, req *Heartbeat) (proto.Message, error) {
	if s.heard(req) {
		s.learnLater(memberFrom(req.GetSelf()), req)
	}
	local := req.GetSelf().GetDomain() == string(s.Table.Self().Domain)
	return &HeartbeatReply{Heartbeat: s.heartbeat(local)}, nil
}

// heartbeat returns what this daemon tells, with a digest if it is for a
// member of its own domain.
func (s *Service) heartbeat(local bool) *Heartbeat {
	v := s.Table.View()
	beat := &Heartbeat{
		Self:     v.Self.record(),
		Revision: int64(s.holder.Revision()),
		ViewHash: v.hashes[v.Self.Domain],
		Counter:  s.tick.Load(),
	}
	if local {
		beat.Digest = v.digest()
	}
	return beat
}

// serveView lists the live members that this daemon knows.
func (s *Service) serveView(context.Context, ident.InstanceID, *ViewRequest) (proto.Message, error) {
	reply := &ViewReply{}
	for _, m := range s.Table.View().Members() {
		if m.State == Live || m.State == Leaving {
			reply.Members = append(reply.Members, m.record())
		}
	}
	return reply, nil
}

// learn asks whoever answers at an address for its view.
func (s *Service) learn(ctx context.Context, address ident.Address) error {
	reply := &ViewReply{}
	remote, err := s.links.CallAddress(ctx, address, methodView, &ViewRequest{}, reply)
	if err != nil {
		return err
	}
	var reported []Member
	for _, r := range reply.GetMembers() {
		m := memberFrom(r)
		s.Table.Learned(m)
		if m.Domain == remote.Domain {
			reported = append(reported, m)
		}
	}
	// Members speak for their own domain: what they report live there is
	// taken as live here, so that owners are the same seen from anywhere.
	if remote.Domain != s.Table.Self().Domain {
		s.Table.Reported(remote.Domain, reported)
	}
	return nil
}

// gone reports whether a call's error shows that the process has ended.
func gone(err error) bool {
	return fault.Is(err, fault.PeerUnavailable) && (isReplaced(err) || isRefused(err))
}
