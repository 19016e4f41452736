package relay

import (
	"sync"

	"monsoonfork/core/config"
	"monsoonfork/core/ident"
)

// packedReplies keeps the answers to pulls of the newest revision: a domain
// pulls at once after a change, nearly always from the revision before it.
type packedReplies struct {
	mu       sync.Mutex
	revision ident.Revision
	byBase   map[ident.Revision]*PullReply
}

// get returns the answer to an instance that has the revision have. It is a
// delta if that text is still known here.
func (p *packedReplies) get(c *config.Snapshot, have ident.Revision, holder *config.Holder) (*PullReply, error) {
	base, known := holder.Earlier(have)
	if !known {
		have = 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revision != c.Revision {
		p.revision = c.Revision
		p.byBase = make(map[ident.Revision]*PullReply)
	}
	if ready, ok := p.byBase[have]; ok {
		return ready, nil
	}
	packed, err := pack(c.Raw, base)
	if err != nil {
		return nil, err
	}
	reply := &PullReply{Revision: int64(c.Revision), EditId: c.EditID, Digest: c.Digest, Packed: packed}
	p.byBase[have] = reply
	return reply, nil
}

// pack packs a text, against base if there is one.
func pack(raw []byte, base config.Earlier) ([]byte, error) {
	if base.Revision == 0 {
		return config.Pack(raw)
	}
	return config.PackDelta(raw, base)
}
