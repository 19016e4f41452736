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

// watchLoop watches the head in the store while this instance is a relay.
func (s *Service) watchLoop() {
	var after keyvalue.Index
	for s.ctx.Err() == nil {
		if !s.isRelay() {
			after = 0
			s.sleep(relayCheckInterval)
			continue
		}
		requestedAt := s.now()
		stored, err := config.WatchHead(s.ctx, s.store, after, watchWait)
		if err != nil {
			_ = level.Debug(s.log).Log("msg", event.HeadWatchFailed, "err", err)
			s.sleep(watchRetryDelay)
			continue
		}
		// The confirmation counts from the start of the call: the response may
		// have been delayed and does not cover later revisions.
		s.processHead(stored.Head, requestedAt)
		// A lower index than before means that the store was
		// restored or restarted without its data; the next watch must not wait
		// for the old index.
		if stored.WatchIndex < after {
			stored.WatchIndex = 0
		}
		after = stored.WatchIndex
	}
}

// rereadLoop reads the head at a fixed interval while this instance is a relay,
// since a stalled watch returns neither a change nor an error.
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
			s.readHead()
		}
	}
}

// readHead reads the head from the store once and processes it.
func (s *Service) readHead() {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	requestedAt := s.now()
	stored, err := config.ReadHead(ctx, s.store)
	if err != nil {
		_ = level.Debug(s.log).Log("msg", event.HeadReadFailed, "err", err)
		return
	}
	s.processHead(stored.Head, requestedAt)
}

// processHead reads the text of a head's revision from the store if the revision
// is new, and offers it to the holder. requestedAt is when the call that returned
// the head began.
func (s *Service) processHead(h config.Head, requestedAt time.Time) {
	current := s.holder.Current()
	switch {
	case current == nil && h.Revision == 0:
		return
	case current != nil && h.Revision < current.Revision:
		s.staleAnswers.Inc(1)
		return
	case current != nil && h.Revision == current.Revision:
		invariant.Check(s.log, "OneTextForEachRevision", h.Digest == current.Digest,
			"revision", h.Revision, "stored", h.Digest, "held", current.Digest)
		s.recordConfirmation(requestedAt)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	snapshot, err := config.ReadSnapshot(ctx, s.store, h, s.now())
	if err != nil {
		_ = level.Warn(s.log).Log("msg", event.TextReadFailed, "revision", h.Revision, "err", err)
		return
	}
	s.acceptSnapshot(snapshot, "store")
	s.recordConfirmation(requestedAt)
}
