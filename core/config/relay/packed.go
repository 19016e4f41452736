package relay

import (
	"sync"

	"monsoonfork/core/config"
	"monsoonfork/core/ident"
)

// pullReplyCache caches the replies to pulls of the newest revision, by the base
// of their delta. After a change all instances of a domain pull at about the same
// time, and nearly all of them have the previous revision.
type pullReplyCache struct {
	mu       sync.Mutex
	revision ident.Revision
	byBase   map[ident.Revision]*PullReply
}

// get returns the reply to a caller that has the revision callerRevision. It is a
// delta if the holder still keeps the text of that revision, and the whole text
// otherwise.
func (p *pullReplyCache) get(c *config.Snapshot, callerRevision ident.Revision, holder *config.Holder) (*PullReply, error) {
	base, known := holder.EarlierText(callerRevision)
	if !known {
		callerRevision = 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revision != c.Revision {
		p.revision = c.Revision
		p.byBase = make(map[ident.Revision]*PullReply)
	}
	if cached, ok := p.byBase[callerRevision]; ok {
		return cached, nil
	}
	packed, err := pack(c.Raw, base)
	if err != nil {
		return nil, err
	}
	reply := &PullReply{Revision: int64(c.Revision), EditId: c.EditID, Digest: c.Digest, Packed: packed}
	p.byBase[callerRevision] = reply
	return reply, nil
}

// pack returns the delta of a text from base, or the whole text in packed form if
// base is empty.
func pack(raw []byte, base config.EarlierText) ([]byte, error) {
	if base.Revision == 0 {
		return config.Pack(raw)
	}
	return config.PackDelta(raw, base)
}
