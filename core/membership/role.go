package membership

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/config"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
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
	silenceHeartbeats  = 6                      // Missed heartbeats after which a member is silent.
	remoteEvery        = 4                      // Heartbeats to other domains are this much rarer.
	remoteLinks        = 2                      // Members of each other domain that get heartbeats.
	refusedConfirm     = 500 * time.Millisecond // A refusing address is asked again after this time.
	firstPeersInterval = time.Second
	listEvery          = 5 // The instance list is read this much more rarely than first peers are asked.
	listReaders        = 2 // Members of a domain that read the list.
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
	firstPeers []ident.Address
	listed     func(context.Context) ([]instancelist.Instance, error) // Nil without an instance list.

	hookMu sync.Mutex
	hooks  []RevisionHook

	tick   int
	last   time.Time
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func init() {
	kernel.Register(kernel.Role{
		Name:    "Membership",
		Summary: "knows the live instances of the domain and some of others",
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
	kernel.Provide(n, holder)
	kernel.Provide(n, s.Table)
	kernel.Provide(n, s)
	s.run()
	return &kernel.Running{
		Leave: s.Leave,
		Close: s.Close,
		Dump:  func() any { return s.Table.View().Members() },
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
		Table:      t,
		log:        t.log,
		links:      links,
		holder:     holder,
		now:        n.Now,
		interval:   time.Duration(n.Settings.HeartbeatMS) * time.Millisecond,
		firstPeers: n.Settings.FirstPeers,
		ctx:        ctx,
		cancel:     cancel,
	}
	if n.Settings.InstanceListAddress != "" {
		s.listed = instancelist.New(n.Settings.InstanceListAddress).Instances
	}
	links.AddressOf = t.AddressOf
	peer.Handle(links, methodHeartbeat, s.serveHeartbeat)
	peer.Handle(links, methodView, s.serveView)
	return s
}

// run starts the loops.
func (s *Service) run() {
	s.wg.Add(2)
	go s.heartbeatLoop()
	go s.discoveryLoop()
}

// Close stops the loops and the links, and waits.
func (s *Service) Close() error {
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
	s.beat(true)
}

// heard records a member's record and revision.
func (s *Service) heard(r *MemberRecord, revision int64) {
	if r.GetInstance() == "" || r.GetDomain() == "" {
		return
	}
	m := memberFrom(r)
	s.Table.Heard(m, ident.Revision(revision))
	s.hookMu.Lock()
	hooks := s.hooks
	s.hookMu.Unlock()
	for _, hook := range hooks {
		hook(m.ID, ident.Revision(revision))
	}
}

// serveHeartbeat answers a heartbeat of another member.
func (s *Service) serveHeartbeat(_ context.Context, _ ident.InstanceID, req *Heartbeat) (proto.Message, error) {
	s.heard(req.GetSelf(), req.GetRevision())
	return s.heartbeatReply(), nil
}

// heartbeatReply returns what this daemon tells about itself.
func (s *Service) heartbeatReply() *HeartbeatReply {
	v := s.Table.View()
	return &HeartbeatReply{
		Self:     v.Self.record(),
		Revision: int64(s.holder.Revision()),
		ViewHash: v.hashes[v.Self.Domain],
	}
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
