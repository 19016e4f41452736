// Package spread spreads what the platform's store says over the instances.
package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
	"monsoonfork/core/pause"
)

// MethodPull is the method that instances call for news.
const MethodPull = "Spread.Pull"

const (
	// watchKey ranks the members that follow the store.
	watchKey = "watch"
	// followers is how many members of a domain follow the store while all is well.
	followers = 1
	// pullWait is how long a call waits for news.
	pullWait = 400 * time.Millisecond
	// pullTime bounds a call.
	pullTime = pullWait + 300*time.Millisecond
	// sequenceLasts is how long the sequence of an instance that was asked says what
	// is missing here: after that most of it has come from others.
	sequenceLasts = 2 * pullTime
	// askedNear is how many members of the own domain are asked for news: the one
	// that follows the store, and the one that does so if that one can't.
	askedNear = 2
	// staleAfter is when an instance that nobody healthy has told anything follows
	// the store itself, if it is the second of its domain. Each one after it waits
	// twice as long as the one before: while the store is away for all, few of them
	// ask for it.
	staleAfter = 850 * time.Millisecond
	// longestWait bounds how long an instance waits for others to reach the store.
	longestWait = 20 * time.Second
	// handOver is how long healthy news have to come from another member before an
	// instance stops following the store.
	handOver = 500 * time.Millisecond
	// catchUpCalls is how many members are asked by turns between two calls to the one
	// that follows the store.
	catchUpCalls = 3
	// replyEntries is how many entries of the list a reply has, but for the last part:
	// about 8 KB. An instance that lacks more asks all members of its domain by turns, as
	// the link of the one that follows the store can't carry the list for each of them.
	replyEntries = 100
	// retryPause is the pause after a failed call.
	retryPause = 100 * time.Millisecond
	// farEvery is the pause between calls to other domains.
	farEvery = 200 * time.Millisecond
)

// Spread keeps an instance up to date. All fields are set before Run.
type Spread struct {
	View    func() *membership.View
	Call    link.Caller
	Table   *engines.Table
	Version func() ident.Revision  // Of the configuration in force; 0 before the first.
	Config  func() []byte          // The configuration in force, as its operator wrote it.
	Take    func(raw []byte)       // Takes a configuration.
	Taken   func([]engines.Change) // Told of changes; may be nil.
	// Notice is the newest notice of changes of stage, TakeNotice takes one.
	Notice     func() (raw []byte, revision int64)
	TakeNotice func(raw []byte, revision int64)
	Follow     func(ctx context.Context) // Follows the store until ctx ends.
	Healthy    func() (bool, time.Time)  // Whether the store answers, and since when.
	// Settling reports whether this instance has listed and does not watch yet, which
	// lasts for Settle at most.
	Settling func() bool
	Settle   time.Duration
	Expect   func() int  // Instances that are registered.
	Told     func(n int) // Takes over how many are registered.
	Now      func() time.Time
	Log      log.Logger

	packed packed

	mu        sync.Mutex
	heardAt   time.Time // When a healthy instance answered last.
	heardFrom time.Time // Since when one answers without a gap.
	of        ident.InstanceID
	sequence  int64
	pulledAt  time.Time          // When of answered.
	more      bool               // The last reply was not all that is missing.
	following context.CancelFunc // Nil while the store is not followed.
	done      chan struct{}
}

// Run keeps up until ctx ends.
func (s *Spread) Run(ctx context.Context) {
	defer s.setFollowing(ctx, false, "")
	farAt := time.Time{}
	for ctx.Err() == nil {
		v := s.View()
		rank, others := s.near(v)
		s.decide(ctx, rank)
		fresh := s.isFollowing() && s.healthyNow()
		if fresh && rank < followers {
			// Nobody else has to be asked.
			pause.For(ctx, retryPause)
			continue
		}
		s.catchUp(ctx, v)
		if s.pullAny(ctx, others) {
			continue
		}
		if fresh {
			pause.For(ctx, retryPause)
			continue
		}
		if now := s.Now(); now.Sub(farAt) > farEvery {
			farAt = now
			if s.pullAny(ctx, s.far(v)) {
				continue
			}
		}
		pause.For(ctx, retryPause)
	}
}

// IsFirst reports whether an instance is the first of its domain, by its own view: the
// one that follows the store while all is well.
func IsFirst(v *membership.View) bool {
	first, ok := v.Owner(v.Self.Domain, watchKey)
	return ok && first.ID == v.Self.ID
}

// near returns this instance's rank in its domain, and the others that are asked
// for news there.
func (s *Spread) near(v *membership.View) (rank int, others []ident.InstanceID) {
	ranked := v.Ranked(v.Self.Domain, watchKey)
	rank = len(ranked)
	for i, m := range ranked {
		if m.ID == v.Self.ID {
			rank = i
		} else if i < askedNear {
			others = append(others, m.ID)
		}
	}
	return rank, others
}

// far returns who follows the store in other domains.
func (s *Spread) far(v *membership.View) []ident.InstanceID {
	var list []ident.InstanceID
	for _, domain := range v.Domains() {
		if domain == v.Self.Domain {
			continue
		}
		if m, ok := v.Owner(domain, watchKey); ok {
			list = append(list, m.ID)
		}
	}
	return list
}

// decide begins or ends following the store.
func (s *Spread) decide(ctx context.Context, rank int) {
	now := s.Now()
	s.mu.Lock()
	stale := now.Sub(s.heardAt) > waitFor(rank)
	steady := !stale && now.Sub(s.heardFrom) > handOver
	s.mu.Unlock()
	switch {
	case rank < followers:
		s.setFollowing(ctx, true, "one of the first of its domain")
	case s.Settling():
		// The first of the domain has started at about the same time: its news count
		// when it has settled.
		s.mu.Lock()
		s.heardAt = now.Add(s.Settle)
		s.mu.Unlock()
		s.setFollowing(ctx, false, "another one is the first of its domain")
	case stale:
		s.setFollowing(ctx, true, "nobody healthy answers")
	case steady:
		s.setFollowing(ctx, false, "others follow it")
	}
}

// waitFor returns how long an instance of a rank waits for news of others before it
// follows the store itself.
func waitFor(rank int) time.Duration {
	wait := staleAfter
	for ; rank > followers && wait < longestWait; rank-- {
		wait *= 2
	}
	return min(wait, longestWait)
}

// setFollowing starts or stops following the store.
func (s *Spread) setFollowing(ctx context.Context, follow bool, why string) {
	s.mu.Lock()
	cancel, done := s.following, s.done
	if follow == (cancel != nil) {
		s.mu.Unlock()
		return
	}
	if follow {
		followCtx, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		s.following, s.done = stop, ended
		go func() {
			defer close(ended)
			s.Follow(followCtx)
		}()
	} else {
		s.following = nil
	}
	s.mu.Unlock()
	if !follow {
		cancel()
		<-done
	}
	_ = level.Info(s.Log).Log("msg", event.Following, "follows", follow, "why", why)
}

// isFollowing reports whether this instance follows the store.
func (s *Spread) isFollowing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.following != nil
}

// healthyNow reports whether the store answers.
func (s *Spread) healthyNow() bool {
	healthy, _ := s.Healthy()
	return healthy
}

// catchUp pulls from members of the domain, drawn by lot, while much of the list is
// missing here.
func (s *Spread) catchUp(ctx context.Context, v *membership.View) {
	s.mu.Lock()
	more := s.more
	s.mu.Unlock()
	if !more {
		return
	}
	members := v.Ranked(v.Self.Domain, watchKey)
	for range catchUpCalls {
		to := members[rand.IntN(len(members))].ID
		if to == v.Self.ID {
			continue
		}
		// Who does not answer is passed over; the next call is to another one.
		_, _ = s.pull(ctx, to)
	}
}

// pullAny pulls from the first instance that is healthy, and reports whether there
// was one.
func (s *Spread) pullAny(ctx context.Context, from []ident.InstanceID) bool {
	for _, id := range from {
		healthy, err := s.pull(ctx, id)
		if err == nil && healthy {
			return true
		}
	}
	return false
}

// pull takes over the news of another instance.
func (s *Spread) pull(ctx context.Context, from ident.InstanceID) (healthy bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pullTime)
	defer cancel()
	s.mu.Lock()
	req := &PullRequest{Of: string(s.of), Sequence: s.sequence, Version: int64(s.Version())}
	_, req.NoticeRevision = s.Notice()
	pulledAt := s.pulledAt
	s.mu.Unlock()
	if ident.InstanceID(req.GetOf()) != from || s.Now().Sub(pulledAt) > sequenceLasts {
		sums := s.Table.Sums()
		req.Of, req.Sums = "", sums[:]
	}
	reply := &PullReply{}
	if err := s.Call(ctx, from, MethodPull, req, reply); err != nil {
		return false, err
	}
	s.apply(from, reply)
	return reply.GetHealthy(), nil
}

// apply takes over a reply.
func (s *Spread) apply(from ident.InstanceID, r *PullReply) {
	if packed := r.GetConfiguration(); len(packed) > 0 {
		raw, err := unpack(packed)
		if err != nil {
			_ = level.Warn(s.Log).Log("msg", event.PulledTextRefused, "from", from, "err", err)
		} else {
			s.Take(raw)
		}
	}
	changes := make([]engines.Change, 0, len(r.GetEngines()))
	for _, e := range r.GetEngines() {
		changes = append(changes, e.change())
	}
	taken := s.takeEngines(r, changes)
	if s.Taken != nil && len(taken) > 0 {
		s.Taken(taken)
	}
	if len(r.GetNotice()) > 0 {
		s.TakeNotice(r.GetNotice(), r.GetNoticeRevision())
	}
	s.Told(int(r.GetExpected()))
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.of, s.sequence, s.pulledAt, s.more = from, r.GetSequence(), now, r.GetMore()
	if s.more {
		s.of = ""
	}
	if !r.GetHealthy() {
		return
	}
	if now.Sub(s.heardAt) > staleAfter {
		s.heardFrom = now
	}
	s.heardAt = now
}

// takeEngines takes over the engines of a reply. What is not in a part is removed only
// on the word of an instance that follows the store.
func (s *Spread) takeEngines(r *PullReply, changes []engines.Change) (taken []engines.Change) {
	if len(r.GetParts()) > 0 && r.GetKnown() && r.GetHealthy() {
		parts := make([]int, 0, len(r.GetParts()))
		for _, p := range r.GetParts() {
			parts = append(parts, int(p))
		}
		entries := make([]engines.Entry, 0, len(changes))
		for _, c := range changes {
			entries = append(entries, c.Entry)
		}
		taken = s.Table.ReplaceParts(parts, entries, r.GetRevision())
	} else {
		taken = s.Table.Apply(changes)
	}
	if r.GetKnown() && !r.GetMore() {
		s.Table.MarkKnown(r.GetRevision())
	}
	return taken
}
