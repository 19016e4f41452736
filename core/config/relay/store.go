package relay

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/config"
	"monsoonfork/core/event"
	"monsoonfork/core/invariant"
	"monsoonfork/core/keyvalue"
)

// watchLoop keeps a watch on the head while this instance is a relay.
func (s *Service) watchLoop() {
	var after keyvalue.Index
	for s.ctx.Err() == nil {
		if !s.isRelay() {
			after = 0
			s.sleep(idleInterval)
			continue
		}
		asked := s.now()
		stored, err := config.WatchHead(s.ctx, s.store, after, watchWait)
		if err != nil {
			_ = level.Debug(s.log).Log("msg", event.WatchFailed, "err", err)
			s.sleep(storePause)
			continue
		}
		// An answer that the store held back confirms nothing about later.
		s.consider(stored.Head, asked)
		// An index that went back means that the store began anew.
		if stored.Watch < after {
			stored.Watch = 0
		}
		after = stored.Watch
	}
}

// rereadLoop reads the head at a fixed interval while this instance is a
// relay, since a watch may have stalled unseen.
func (s *Service) rereadLoop() {
	ticker := time.NewTicker(rereadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		if s.isRelay() {
			s.reread()
		}
	}
}

// reread reads the head once.
func (s *Service) reread() {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	asked := s.now()
	stored, err := config.ReadHead(ctx, s.store)
	if err != nil {
		_ = level.Debug(s.log).Log("msg", event.ReadFailed, "err", err)
		return
	}
	s.consider(stored.Head, asked)
}

// consider takes a head's revision if it is new. asked is when the store was
// asked for it.
func (s *Service) consider(h config.Head, asked time.Time) {
	current := s.holder.Current()
	switch {
	case current == nil && h.Revision == 0:
		return
	case current != nil && h.Revision < current.Revision:
		s.stale.Inc(1)
		return
	case current != nil && h.Revision == current.Revision:
		invariant.Check(s.log, "OneTextForEachRevision", h.Digest == current.Digest,
			"revision", h.Revision, "stored", h.Digest, "held", current.Digest)
		s.confirm(asked)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	snapshot, err := config.ReadSnapshot(ctx, s.store, h, s.now())
	if err != nil {
		_ = level.Warn(s.log).Log("msg", event.TextNotRead, "revision", h.Revision, "err", err)
		return
	}
	s.take(snapshot, "store")
	s.confirm(asked)
}
