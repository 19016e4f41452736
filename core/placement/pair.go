package placement

import (
	"time"

	"monsoonfork/core/ident"
)

// enginePair is a prefill and a decode engine for one request, with the predicted
// times of the request on them.
type enginePair struct {
	prefill, decode *engineState
	prefillTokens   ident.Tokens // Tokens to compute, after cached prefixes are subtracted.
	prefillDoneAt   time.Time
	transferDoneAt  time.Time
	firstToken      time.Time
}

// betterThan reports whether p is preferred to q: the pair with the earlier first
// token, or with the less loaded decode engine if the times differ by no more than
// tie.
func (p enginePair) betterThan(q enginePair, tie time.Duration) bool {
	if q.prefill == nil {
		return true
	}
	gap := q.firstToken.Sub(p.firstToken)
	if gap > tie || gap < -tie {
		return gap > 0
	}
	if p.decode.load() != q.decode.load() {
		return p.decode.load() < q.decode.load()
	}
	return gap > 0
}

// firstTokenTolerance is the difference up to which two predicted first-token
// times count as equal.
const firstTokenTolerance = 10 * time.Millisecond

// choosePair returns the best pair for the request now. It returns false if no
// pair has free slots and memory, or none would meet the request's target. It does
// not use the decode engines in claimed, which are kept for larger requests (see
// placeOne).
func (d *Dispatcher) choosePair(w *queuedRequest, now time.Time, claimed map[ident.EndpointID]bool) (enginePair, bool) {
	r := w.request
	decodes := d.decodeCandidates(w, now, claimed)
	if len(decodes) == 0 {
		return enginePair{}, false
	}
	var best enginePair
	for _, e := range d.prefillEngines {
		if r.avoids(e.Name) || !d.prefillOpen(e, now) || !e.fits(e.piecesFor(r.PromptTokens)) {
			continue
		}
		tokens := r.PromptTokens
		if d.tuning.Prefixes {
			tokens -= d.prefixes.cachedTokens(e.Name, r.PrefixHashes, r.PromptTokens)
		}
		prefillDoneAt := now.Add(e.prefills.wait(now) + e.prefillTime(tokens))
		for _, decode := range decodes {
			p := d.predict(r, e, decode, tokens, prefillDoneAt)
			if p.betterThan(best, firstTokenTolerance) {
				best = p
			}
		}
	}
	return best, best.prefill != nil && !best.firstToken.After(w.firstTokenTarget)
}

// decodeCandidates returns the decode engines that can take the request now. It
// returns none if the remaining free slots are reserved for urgent requests, or for
// organisations that are not above their fair share.
func (d *Dispatcher) decodeCandidates(w *queuedRequest, now time.Time, claimed map[ident.EndpointID]bool) []*engineState {
	r := w.request
	var list []*engineState
	free, slots := 0, 0
	for _, e := range d.decodeEngines {
		if r.avoids(e.Name) || !e.usable(now) {
			continue
		}
		free += e.freeSlots()
		slots += e.Slots
		if !claimed[e.Name] && e.fits(e.piecesFor(r.cost())) {
			list = append(list, e)
		}
	}
	if free <= int(d.tuning.ReservedFraction*float64(slots)) && !d.isUrgent(w, now) {
		return nil
	}
	if free <= d.tuning.Headroom && d.aboveFairShare(r.Organisation) {
		return nil
	}
	return list
}

// isUrgent reports whether a request has so little slack that it may use the
// reserved decode slots. Requests with long prompts have little slack from the
// start; others can wait until a slot is released.
func (d *Dispatcher) isUrgent(w *queuedRequest, now time.Time) bool {
	return w.request.FirstTokenDeadline.IsZero() || w.expires.Sub(now) <= d.tuning.UrgentSlack
}

// predict returns a pair with the predicted times of the request. The transfer
// starts when the prefill is done and the links of both engines are free.
func (d *Dispatcher) predict(r Request, prefill, decode *engineState, tokens ident.Tokens, prefillDoneAt time.Time) enginePair {
	start := latest(prefillDoneAt, prefill.linkFreeAt, decode.linkFreeAt)
	transferDoneAt := start.Add(d.kvTransferTime(r.PromptTokens, prefill, decode))
	return enginePair{
		prefill: prefill, decode: decode, prefillTokens: tokens,
		prefillDoneAt: prefillDoneAt, transferDoneAt: transferDoneAt,
		firstToken: transferDoneAt.Add(d.tuning.InterTokenTime),
	}
}

// kvTransferTime returns the time to transfer the KV cache of n tokens between two
// engines over the slower of their links.
func (d *Dispatcher) kvTransferTime(n ident.Tokens, prefill, decode *engineState) time.Duration {
	rate := min(prefill.LinkBandwidth, decode.LinkBandwidth)
	return secondsToDuration(float64(n) * float64(d.model.BytesPerKVToken) / float64(rate))
}

// remainingTransferTime returns how long the transfer of a lease may still take,
// at most prefillResultTTL.
func (d *Dispatcher) remainingTransferTime(l *lease) time.Duration {
	if l.prefill == nil || l.decode == nil {
		return prefillResultTTL
	}
	wait := max(0, l.prefill.linkFreeAt.Sub(d.now()))
	return min(prefillResultTTL, max(wait, d.kvTransferTime(l.record.PromptTokens, l.prefill, l.decode)))
}

// idleServiceTime returns the time from placement to first token on the fastest
// pair of engines if they were idle. It returns false if no pair could ever take
// the request: there is none, the request excludes it, or its memory is too small.
func (d *Dispatcher) idleServiceTime(r Request) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, e := range d.prefillEngines {
		if e.removed || r.avoids(e.Name) || e.piecesFor(r.PromptTokens) > e.MemoryPieces {
			continue
		}
		for _, decode := range d.decodeEngines {
			if decode.removed || r.avoids(decode.Name) || decode.piecesFor(r.cost()) > decode.MemoryPieces {
				continue
			}
			t := e.prefillTime(r.PromptTokens) + d.kvTransferTime(r.PromptTokens, e, decode) + d.tuning.InterTokenTime
			if !found || t < best {
				best, found = t, true
			}
		}
	}
	return best, found
}

// engineWithMostFreeMemory returns the usable, unclaimed decode engine with the
// most free memory among those whose total memory suffices for the request; or nil.
func (d *Dispatcher) engineWithMostFreeMemory(r Request, now time.Time, claimed map[ident.EndpointID]bool) *engineState {
	var best *engineState
	for _, e := range d.decodeEngines {
		if claimed[e.Name] || r.avoids(e.Name) || !e.usable(now) || e.piecesFor(r.cost()) > e.MemoryPieces {
			continue
		}
		if best == nil || e.MemoryPieces-e.reservedPieces > best.MemoryPieces-best.reservedPieces {
			best = e
		}
	}
	return best
}

// recordPrefixes adds the prefixes of a completed prefill to the index, since the
// engine has cached them.
func (d *Dispatcher) recordPrefixes(id ident.EndpointID, l *lease) {
	for _, h := range l.prefixHashes {
		d.prefixes.stored(id, h)
	}
}

// latest returns the latest of the given times.
func latest(times ...time.Time) time.Time {
	var t time.Time
	for _, u := range times {
		if u.After(t) {
			t = u
		}
	}
	return t
}
