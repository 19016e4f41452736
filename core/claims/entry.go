// Package claims lets a call that may not be repeated run at most once: before
// the call runs, a claim on its Idempotency-Key is written to a log in the
// platform's key-value service.
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

// Sizes of the log.
const (
	shardCount     = 8       // Logs; a call belongs to the log of its hash.
	maxHeadEntries = 16      // Entries in a head before it becomes a segment.
	maxHeadBytes   = 64_000  // Size of a head before it becomes a segment.
	maxKeptBody    = 1 << 10 // Longest answer body that is kept for replay, in bytes.
	hashBytes      = 16      // Length of a CallHash before hex encoding.
)

// CallHash identifies a call by its organisation, route and Idempotency-Key.
type CallHash string

// ClaimID identifies one attempt to claim a call.
type ClaimID string

// Op is what an entry does.
type Op int

// The operations.
const (
	Claim   Op = iota // The holder is about to run the call.
	Done              // The call ran; its answer is known.
	Release           // The call did not run; it may be claimed again.
)

// Answer is the answer of a call that ran.
type Answer struct {
	Status      int    `json:"Status"`
	ContentType string `json:"ContentType,omitempty"`
	Body        []byte `json:"Body,omitempty"`
	BodyDropped bool   `json:"BodyDropped,omitempty"` // The body was too long to keep.
}

// Entry is one entry of a log.
type Entry struct {
	Op       Op               `json:"Op"`
	Call     CallHash         `json:"Call"`
	Claim    ClaimID          `json:"Claim"`
	Request  string           `json:"Request,omitempty"` // Digest of the request's method, path and body.
	Holder   ident.InstanceID `json:"Holder,omitempty"`
	At       int64            `json:"At"`                 // Unix milliseconds.
	Deadline int64            `json:"Deadline,omitempty"` // Unix milliseconds; after it the holder no longer runs the call.
	Answer   *Answer          `json:"Answer,omitempty"`
}

// Head is the newest part of a log. Every append replaces it by
// compare-and-swap, so that two appenders cannot both succeed.
type Head struct {
	Seq     int64   `json:"Seq"` // Number of the segment that the head becomes when it is full.
	Entries []Entry `json:"Entries"`
}

// Segment is an older part of a log.
type Segment struct {
	Entries []Entry `json:"Entries"`
}

// UnmarshalJSON decodes and checks an entry.
func (e *Entry) UnmarshalJSON(raw []byte) error {
	type plain Entry
	if err := json.Unmarshal(raw, (*plain)(e)); err != nil {
		return err
	}
	return e.check()
}

// check returns what is wrong with an entry.
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

// HashCall returns the hash of a call.
func HashCall(org ident.OrganisationID, route, idempotencyKey string) CallHash {
	sum := sha256.Sum256([]byte(strings.Join([]string{string(org), route, idempotencyKey}, "\x00")))
	return CallHash(hex.EncodeToString(sum[:hashBytes]))
}

// shardOf returns the log that a call belongs to.
func shardOf(call CallHash) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(call))
	return int(h.Sum32() % shardCount)
}

// trimmed returns a with its body dropped if it is too long to keep.
func (a Answer) trimmed() *Answer {
	if len(a.Body) > maxKeptBody {
		a.Body, a.BodyDropped = nil, true
	}
	return &a
}

// time returns when the entry was made.
func (e *Entry) time() time.Time { return time.UnixMilli(e.At) }

// message returns e for a link.
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

// entryFrom returns the checked entry of a message.
func entryFrom(m *EntryMessage) (Entry, error) {
	e := Entry{
		Op:       Op(m.GetOp()),
		Call:     CallHash(m.GetCall()),
		Claim:    ClaimID(m.GetClaim()),
		Request:  m.GetRequest(),
		Holder:   ident.InstanceID(m.GetHolder()),
		At:       m.GetAtUnixMs(),
		Deadline: m.GetDeadlineUnixMs(),
		Answer:   answerFrom(m.GetAnswer()),
	}
	return e, e.check()
}

// message returns a for a link.
func (a *Answer) message() *AnswerMessage {
	if a == nil {
		return nil
	}
	return &AnswerMessage{Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body, BodyDropped: a.BodyDropped}
}

// answerFrom returns the answer of a message, or nil.
func answerFrom(m *AnswerMessage) *Answer {
	if m == nil {
		return nil
	}
	return &Answer{Status: int(m.GetStatus()), ContentType: m.GetContentType(), Body: m.GetBody(), BodyDropped: m.GetBodyDropped()}
}
