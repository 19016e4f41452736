// Package claims ensures that a call with an Idempotency-Key runs at most once on a
// route that is not idempotent: before the call is sent, a claim on the key is
// appended to a log in the key-value store.
package claims

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash/fnv"
	"strings"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Sizes of the logs.
const (
	shardCount     = 8       // Number of logs; the hash of a call selects its log.
	maxHeadEntries = 16      // A head with more entries is rotated to a segment.
	maxHeadBytes   = 64_000  // A head with more bytes of answer bodies is rotated.
	maxStoredBody  = 1 << 10 // Longest answer body stored for replay, in bytes.
	hashBytes      = 16      // Length of a CallHash before hex encoding.
)

// CallHash identifies a call by its organisation, route and Idempotency-Key.
type CallHash string

// ClaimID identifies one attempt to claim a call.
type ClaimID string

// Op is the operation of an entry.
type Op int

// Operations of entries.
const (
	Claim   Op = iota // The holder is about to send the call.
	Done              // The call ran; the entry contains its answer.
	Release           // The call did not run; it may be claimed again.
)

// Answer is the answer of a call that ran.
type Answer struct {
	Status      int    `json:"Status"`
	ContentType string `json:"ContentType,omitempty"`
	Body        []byte `json:"Body,omitempty"`
	BodyDropped bool   `json:"BodyDropped,omitempty"` // The body was too long to store.
}

// Entry is one entry of a log.
type Entry struct {
	Op       Op               `json:"Op"`
	Call     CallHash         `json:"Call"`
	Claim    ClaimID          `json:"Claim"`              // The claim that the operation creates or ends.
	Request  string           `json:"Request,omitempty"`  // Digest of the request's method, path and body.
	Holder   ident.InstanceID `json:"Holder,omitempty"`   // Instance that sends the call.
	At       int64            `json:"At"`                 // Unix milliseconds.
	Deadline int64            `json:"Deadline,omitempty"` // Unix milliseconds; the holder has stopped the call by then.
	Answer   *Answer          `json:"Answer,omitempty"`
}

// Head contains the newest entries of a log. Every append replaces it by
// compare-and-swap, so that only one of several concurrent appends succeeds.
type Head struct {
	Seq     int64   `json:"Seq"` // Number of the segment to which the head is rotated when full.
	Entries []Entry `json:"Entries"`
}

// Segment contains older entries of a log.
type Segment struct {
	Entries []Entry `json:"Entries"`
}

// UnmarshalJSON decodes and validates an entry.
func (e *Entry) UnmarshalJSON(raw []byte) error {
	type plain Entry
	if err := json.Unmarshal(raw, (*plain)(e)); err != nil {
		return err
	}
	return e.check()
}

// check returns an error if the entry is malformed.
func (e *Entry) check() error {
	if e.Op < Claim || e.Op > Release {
		return fault.New(fault.BadRequest, "claim entry: unknown Op %d", e.Op)
	}
	if len(e.Call) != 2*hashBytes {
		return fault.New(fault.BadRequest, "claim entry: Call has %d characters, want %d", len(e.Call), 2*hashBytes)
	}
	if e.Claim == "" {
		return fault.New(fault.BadRequest, "claim entry: Claim is empty")
	}
	if e.Op == Done && e.Answer == nil {
		return fault.New(fault.BadRequest, "claim entry: Done without Answer")
	}
	return nil
}

// HashCall returns the hash that identifies a call.
func HashCall(org ident.OrganisationID, route, idempotencyKey string) CallHash {
	sum := sha256.Sum256([]byte(strings.Join([]string{string(org), route, idempotencyKey}, "\x00")))
	return CallHash(hex.EncodeToString(sum[:hashBytes]))
}

// shardOf returns the number of the log that contains a call.
func shardOf(call CallHash) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(call))
	return int(h.Sum32() % shardCount)
}

// withBoundedBody returns a copy of a, without the body if that is too long to store.
func (a Answer) withBoundedBody() *Answer {
	if len(a.Body) > maxStoredBody {
		a.Body, a.BodyDropped = nil, true
	}
	return &a
}

// createdAt returns the time at which the entry was created.
func (e *Entry) createdAt() time.Time { return time.UnixMilli(e.At) }

// message returns e as a protobuf message.
func (e *Entry) message() *EntryMessage {
	return &EntryMessage{
		Op:             int32(e.Op),
		Call:           string(e.Call),
		Claim:          string(e.Claim),
		Request:        e.Request,
		Holder:         string(e.Holder),
		AtUnixMs:       e.At,
		DeadlineUnixMs: e.Deadline,
		Answer:         e.Answer.message(),
	}
}

// entryFromMessage returns the entry of a message, and an error if it is malformed.
func entryFromMessage(m *EntryMessage) (Entry, error) {
	e := Entry{
		Op:       Op(m.GetOp()),
		Call:     CallHash(m.GetCall()),
		Claim:    ClaimID(m.GetClaim()),
		Request:  m.GetRequest(),
		Holder:   ident.InstanceID(m.GetHolder()),
		At:       m.GetAtUnixMs(),
		Deadline: m.GetDeadlineUnixMs(),
		Answer:   answerFromMessage(m.GetAnswer()),
	}
	return e, e.check()
}

// message returns a as a protobuf message, or nil.
func (a *Answer) message() *AnswerMessage {
	if a == nil {
		return nil
	}
	return &AnswerMessage{Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body, BodyDropped: a.BodyDropped}
}

// answerFromMessage returns the answer of a message, or nil.
func answerFromMessage(m *AnswerMessage) *Answer {
	if m == nil {
		return nil
	}
	return &Answer{Status: int(m.GetStatus()), ContentType: m.GetContentType(), Body: m.GetBody(), BodyDropped: m.GetBodyDropped()}
}
