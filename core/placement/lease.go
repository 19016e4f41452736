package placement

import (
	"time"

	"monsoonfork/core/ident"
)

// keptTime is how long a prefill engine keeps a result that is not pulled.
const keptTime = 800 * time.Millisecond

// lease is what one attempt has reserved.
type lease struct {
	held          Held
	prefill       *engineState // Nil when not known.
	decode        *engineState // Nil when not known.
	decodePieces  ident.Pieces
	prefillPieces ident.Pieces // Reserved on the prefill engine; 0 after the transfer.
	prefillTokens ident.Tokens // Expected after prefix hits.
	prefilling    bool
	granted       time.Time
	prefillFreeAt time.Time       // Predicted end of the transfer, once prefilled.
	firstToken    time.Time       // Predicted when granted.
	hashes        []string        // Prefix hashes of the prompt.
	answer        <-chan Decision // Of the newest submission.
}

// reserve counts the lease on its engines.
func (l *lease) reserve() {
	if l.decode != nil {
		l.decode.slots++
		l.decode.pieces += l.decodePieces
		l.decode.leases[l.held.Lease] = l
	}
	if l.prefill != nil && l.prefilling {
		l.prefill.slots++
		l.prefill.pieces += l.prefillPieces
		l.prefill.leases[l.held.Lease] = l
	}
}

// endPrefill gives back the slot on the prefill engine. The pieces stay until
// the transfer is done.
func (l *lease) endPrefill() {
	if !l.prefilling {
		return
	}
	l.prefilling = false
	l.held.Phase = Decoding
	if l.prefill != nil {
		l.prefill.slots--
	}
}

// endTransfer gives back the pieces on the prefill engine.
func (l *lease) endTransfer() {
	if l.prefill == nil || l.prefilling {
		return
	}
	if _, ok := l.prefill.leases[l.held.Lease]; !ok {
		return
	}
	l.prefill.pieces -= l.prefillPieces
	l.prefillPieces = 0
	delete(l.prefill.leases, l.held.Lease)
}

// release gives back all that the lease holds.
func (l *lease) release() {
	l.endPrefill()
	l.endTransfer()
	if l.decode != nil {
		l.decode.slots--
		l.decode.pieces -= l.decodePieces
		delete(l.decode.leases, l.held.Lease)
	}
}
