package placement

import (
	"time"

	"monsoonfork/core/ident"
)

// pair is a prefill and a decode engine for one request, with what is
// predicted for it.
type pair struct {
	prefill, decode *engineState
	tokens          ident.Tokens // To compute after prefix hits.
	prefillEnds     time.Time
	transferEnds    time.Time
	firstToken      time.Time
}

// better reports whether p is to be preferred to q: the earlier first token,
// and among nearly equal ones the decode engine with less load.
func (p pair) better(q pair, tie time.Duration) bool {
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

// tieTime is the difference of first tokens that counts as equal.
const tieTime = 10 * time.Millisecond

// choosePair returns the best pair for the request at the moment. It returns
// false when nothing fits, or when no pair would meet the target.
func (d *Dispatcher) choosePair(w *waiting, now time.Time, claimed map[ident.EndpointID]bool) (pair, bool) {
	r := w.request
	decodes := d.decodeCandidates(w, now, claimed)
	if len(decodes) == 0 {
		return pair{}, false
	}
	var best pair
	for _, e := range d.prefills {
		if r.avoids(e.Name) || !d.prefillOpen(e, now) || !e.fits(e.piecesFor(r.PromptTokens)) {
			continue
		}
		tokens := r.PromptTokens
		if d.tuning.Prefixes {
			tokens -= d.prefixes.saved(e.Name, r.PrefixHashes, r.PromptTokens)
		}
		ends := now.Add(e.prefills.wait(now) + e.prefillTime(tokens))
		for _, f := range decodes {
			p := d.predict(r, e, f, tokens, ends)
			if p.better(best, tieTime) {
				best = p
			}
		}
	}
	return best, best.prefill != nil && !best.firstToken.After(w.target)
}

// decodeCandidates returns the decode engines that can take the request.
func (d *Dispatcher) decodeCandidates(w *waiting, now time.Time, claimed map[ident.EndpointID]bool) []*engineState {
	r := w.request
	var list []*engineState
	free, slots := 0, 0
	for _, e := range d.decodes {
		if r.avoids(e.Name) || !e.usable(now) {
			continue
		}
		free += e.freeSlots()
		slots += e.Slots
		if !claimed[e.Name] && e.fits(e.piecesFor(r.cost())) {
			list = append(list, e)
		}
	}
	if free <= int(d.tuning.Reserve*float64(slots)) && !d.littleSlack(w, now) {
		return nil
	}
	if free <= d.tuning.Headroom && d.loud(r.Organisation) {
		return nil
	}
	return list
}

// littleSlack reports whether a request can wait so little that it may take the
// slots kept for such ones. Long prompts have little slack from the start;
// others can wait for the next slot.
func (d *Dispatcher) littleSlack(w *waiting, now time.Time) bool {
	return w.request.FirstTokenDeadline.IsZero() || w.expires.Sub(now) <= d.tuning.LittleSlack
}

// predict returns the pair with its predicted times.
func (d *Dispatcher) predict(r Request, e, f *engineState, tokens ident.Tokens, prefillEnds time.Time) pair {
	start := latest(prefillEnds, e.linkFree, f.linkFree)
	ends := start.Add(d.linkTime(r.PromptTokens, e, f))
	return pair{
		prefill: e, decode: f, tokens: tokens,
		prefillEnds: prefillEnds, transferEnds: ends,
		firstToken: ends.Add(d.tuning.TokenTime),
	}
}

// linkTime returns how long the KV cache of n tokens needs from one engine to
// the other.
func (d *Dispatcher) linkTime(n ident.Tokens, e, f *engineState) time.Duration {
	rate := min(e.LinkBytes, f.LinkBytes)
	return seconds(float64(n) * float64(d.model.BytesPerKVToken) / float64(rate))
}

// transferTime returns how long the transfer of a lease may still take.
func (d *Dispatcher) transferTime(l *lease) time.Duration {
	if l.prefill == nil || l.decode == nil {
		return keptTime
	}
	wait := max(0, l.prefill.linkFree.Sub(d.now()))
	return min(keptTime, max(wait, d.linkTime(l.held.PromptTokens, l.prefill, l.decode)))
}

// idleTime returns the time from placement to first token on the best idle
// pair of engines. It returns false when no pair could ever take the request.
func (d *Dispatcher) idleTime(r Request) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, e := range d.prefills {
		if e.gone || r.avoids(e.Name) || e.piecesFor(r.PromptTokens) > e.MemoryPieces {
			continue
		}
		for _, f := range d.decodes {
			if f.gone || r.avoids(f.Name) || f.piecesFor(r.cost()) > f.MemoryPieces {
				continue
			}
			t := e.prefillTime(r.PromptTokens) + d.linkTime(r.PromptTokens, e, f) + d.tuning.TokenTime
			if !found || t < best {
				best, found = t, true
			}
		}
	}
	return best, found
}

// roomiest returns the usable decode engine, not yet claimed, that has the
// most free memory of those that could ever take the request; or nil.
func (d *Dispatcher) roomiest(r Request, now time.Time, claimed map[ident.EndpointID]bool) *engineState {
	var best *engineState
	for _, e := range d.decodes {
		if claimed[e.Name] || r.avoids(e.Name) || !e.usable(now) || e.piecesFor(r.cost()) > e.MemoryPieces {
			continue
		}
		if best == nil || e.MemoryPieces-e.pieces > best.MemoryPieces-best.pieces {
			best = e
		}
	}
	return best
}

// prefixesStored notes the prefixes that a prefill has left on an engine.
func (d *Dispatcher) prefixesStored(id ident.EndpointID, l *lease) {
	for _, h := range l.hashes {
		d.prefixes.stored(id, h)
	}
}

// latest returns the latest of some times.
func latest(times ...time.Time) time.Time {
	var t time.Time
	for _, u := range times {
		if u.After(t) {
			t = u
		}
	}
	return t
}
