package placement

import (
	"time"

	"monsoonfork/core/ident"
)

// prefillResultTTL is how long a prefill engine keeps a KV cache that no decode
// engine fetches.
const prefillResultTTL = 800 * time.Millisecond

// lease is the dispatcher's record of a lease: what one attempt has reserved on
// its engines.
type lease struct {
	record         LeaseRecord
	prefill        *engineState // Nil if the engine is not known.
	decode         *engineState // Nil if the engine is not known.
	decodePieces   ident.Pieces
	prefillPieces  ident.Pieces // Reserved pieces on the prefill engine; 0 after the transfer.
	prefillTokens  ident.Tokens // Tokens to compute, after cached prefixes are subtracted.
	prefilling     bool
	grantedAt      time.Time
	transferDoneAt time.Time       // Predicted end of the transfer; set when the prefill is done.
	firstToken     time.Time       // Time predicted when the lease was granted.
	prefixHashes   []string        // Of the prompt.
	answer         <-chan Decision // Answer channel of the newest submission.
}

// reserve adds the lease to the reservations of its engines.
func (l *lease) reserve() {
	if l.decode != nil {
		l.decode.reservedSlots++
		l.decode.reservedPieces += l.decodePieces
		l.decode.leases[l.record.Lease] = l
	}
	if l.prefill != nil && l.prefilling {
		l.prefill.reservedSlots++
		l.prefill.reservedPieces += l.prefillPieces
		l.prefill.leases[l.record.Lease] = l
	}
}

// endPrefill releases the slot on the prefill engine. The pieces stay reserved
// until endTransfer.
func (l *lease) endPrefill() {
	if !l.prefilling {
		return
	}
	l.prefilling = false
	l.record.Phase = Decoding
	if l.prefill != nil {
		l.prefill.reservedSlots--
	}
}

// endTransfer releases the pieces on the prefill engine.
func (l *lease) endTransfer() {
	if l.prefill == nil || l.prefilling {
		return
	}
	if _, ok := l.prefill.leases[l.record.Lease]; !ok {
		return
	}
	l.prefill.reservedPieces -= l.prefillPieces
	l.prefillPieces = 0
	delete(l.prefill.leases, l.record.Lease)
}

// release releases all reservations of the lease.
func (l *lease) release() {
	l.endPrefill()
	l.endTransfer()
	if l.decode != nil {
		l.decode.reservedSlots--
		l.decode.reservedPieces -= l.decodePieces
		delete(l.decode.leases, l.record.Lease)
	}
}
