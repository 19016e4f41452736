// Package membership knows which daemons live: all of its own failure domain,
// and a few of each other one.
package membership

import (
	"time"

	"monsoonfork/core/ident"
)

// State is what is known about a member.
type State int

// The states of a member.
const (
	Live    State = iota // Heard from within the silence bound.
	Leaving              // Lives, but a planned stop has begun.
	Silent               // Not heard from within the silence bound; may live.
	Gone                 // Its process has ended: the address refuses, or another process answers.
)

// Member is one daemon process.
type Member struct {
	ID              ident.InstanceID
	Domain          ident.DomainID
	PeerAddress     ident.Address
	OperatorAddress ident.Address
	Started         time.Time
	State           State
	Revision        ident.Revision // Newest revision that it reported.
	Counter         int64          // Heartbeats that it had begun when last heard of.
	LastHeard       time.Time      // When its counter last grew.
}

// memberHash names a member in digests.
type memberHash uint64

// hash returns the hash of the member's id.
func (m Member) hash() memberHash { return memberHash(rendezvousWeight(m.ID, "")) }

// record returns m as a message.
func (m Member) record() *MemberRecord {
	return &MemberRecord{
		Instance:        string(m.ID),
		Domain:          string(m.Domain),
		PeerAddress:     string(m.PeerAddress),
		OperatorAddress: string(m.OperatorAddress),
		Leaving:         m.State == Leaving,
		StartedUnixUs:   m.Started.UnixMicro(),
	}
}

// memberFrom returns the member that a message describes, as live or leaving.
func memberFrom(r *MemberRecord) Member {
	m := Member{
		ID:              ident.InstanceID(r.GetInstance()),
		Domain:          ident.DomainID(r.GetDomain()),
		PeerAddress:     ident.Address(r.GetPeerAddress()),
		OperatorAddress: ident.Address(r.GetOperatorAddress()),
		Started:         time.UnixMicro(r.GetStartedUnixUs()),
	}
	if r.GetLeaving() {
		m.State = Leaving
	}
	return m
}
