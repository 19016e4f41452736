// Package membership tracks which daemons are live, by heartbeats: those of its own failure
// domain directly, those of the other domains through a few of their members.
package membership

import (
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// State is the state of a member in this daemon's table.
type State int

// The states of a member.
const (
	Live    State = iota // Its heartbeat counter has grown within the silence timeout.
	Leaving              // Live, but its planned stop has begun.
	Silent               // Its heartbeat counter has not grown within the silence timeout; it may be paused or partitioned.
	Gone                 // Its process has ended: the address refuses connections, or another process answers there.
)

// Member is one daemon process.
type Member struct {
	ID              ident.InstanceID
	Domain          ident.DomainID
	PeerAddress     ident.Address
	OperatorAddress ident.Address
	Started         time.Time
	State           State
	Revision        ident.Revision // Newest configuration revision that it has reported.
	Counter         int64          // Highest known heartbeat counter: the number of heartbeats that it has sent.
	LastHeartbeat   time.Time      `json:"LastHeard"` // Time at which its counter last grew here.

	goneSince time.Time // When it was marked as gone.
}

// hasRecordOf reports whether m and other have the same record, leaving their states aside.
func (m Member) hasRecordOf(other Member) bool {
	return m.ID == other.ID && m.Domain == other.Domain && m.PeerAddress == other.PeerAddress &&
		m.OperatorAddress == other.OperatorAddress && m.Started.Equal(other.Started)
}

// memberHash identifies a member in digests: the hash of its instance id.
type memberHash uint64

// hash returns the hash of the member's instance id.
func (m Member) hash() memberHash { return memberHash(rendezvousWeight(m.ID, "")) }

// record returns the protobuf message that describes m.
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

// memberFromRecord returns the member that a protobuf message describes, in state Live or
// Leaving. The error has kind BadRequest if the message is incomplete.
func memberFromRecord(r *MemberRecord) (Member, error) {
	if r.GetInstance() == "" || r.GetDomain() == "" || r.GetPeerAddress() == "" {
		return Member{}, fault.New(fault.BadRequest, "the record of member %.80q in domain %.80q at %.80q is incomplete", r.GetInstance(), r.GetDomain(), r.GetPeerAddress())
	}
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
	return m, nil
}
