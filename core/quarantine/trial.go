package quarantine

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/ident"
)

// trialInterval is the least time between two trials of one part.
const trialInterval = minHold

// permits are the permissions for trials that this instance has given.
type permits struct {
	mu    sync.Mutex
	given map[partKey]time.Time
}

// partKey identifies a part within all scopes.
type partKey struct {
	scope Scope
	part  ident.PartID
}

// take gives a permission for a trial if none was given within trialInterval.
func (p *permits) take(k partKey, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.given[k]; ok && now.Sub(at) < trialInterval {
		return false
	}
	if p.given == nil {
		p.given = make(map[partKey]time.Time)
	}
	for other, at := range p.given {
		if now.Sub(at) >= trialInterval {
			delete(p.given, other)
		}
	}
	p.given[k] = now
	return true
}

// takeTrial asks for permission to send one request with a held part. The owner of the part, one
// of all instances, gives it. Without its answer there is no trial.
func (q *Quarantine) takeTrial(ctx context.Context, h Hold) bool {
	if q.peers.View == nil {
		return q.permit(h.Scope, h.Part)
	}
	owner, ok := q.peers.View().GlobalOwner("quarantine/" + string(h.Service) + "/" + string(h.Model) + "/" + string(h.Part))
	if !ok || owner.ID == q.self {
		return q.permit(h.Scope, h.Part)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, answerBy := &TrialReply{}, q.bootTime().Add(callTimeout)
	request := &TrialRequest{Service: string(h.Service), Model: string(h.Model), Part: string(h.Part)}
	// Without an answer of the owner the part stays held. A late one may have been followed by
	// another permission.
	return q.peers.Call(ctx, owner.ID, MethodTrial, request, reply) == nil && reply.GetGranted() && q.bootTime().Before(answerBy)
}

// permit gives a permission for a trial, unless the part is still held here.
func (q *Quarantine) permit(scope Scope, part ident.PartID) bool {
	now := q.now()
	if e := q.existing(scope); e != nil {
		if h, held := e.held([]ident.PartID{part}, now); held && now.Before(h.Until) {
			return false
		}
	}
	return q.permits.take(partKey{scope, part}, now)
}

// ServeTrial answers a request for permission.
func (q *Quarantine) ServeTrial(_ context.Context, _ ident.InstanceID, r *TrialRequest) (proto.Message, error) {
	scope := Scope{Service: ident.ServiceID(r.GetService()), Model: ident.ModelID(r.GetModel())}
	return &TrialReply{Granted: q.permit(scope, ident.PartID(r.GetPart()))}, nil
}
