package relay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/config"
	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
	"monsoonfork/core/text"
)

// fuzzInputTime bounds the time for one message.
const fuzzInputTime = 2 * time.Second

// fuzzText is the text in force before a message.
const fuzzText = "Domains: [a]\n"

// newFuzzedService returns the service of an instance with revision 7, whose calls are answered
// with reply.
func newFuzzedService(t testing.TB, reply proto.Message) *Service {
	t.Helper()
	table := membership.NewTable(membership.Member{ID: "a1", Domain: "a"}, log.NewNopLogger(), time.Now)
	table.RecordHeartbeat(membership.Member{ID: "b1", Domain: "b", PeerAddress: "b1"})
	s := &Service{holder: config.NewHolder(), table: table, log: log.NewNopLogger(), now: time.Now}
	s.links = &link.Links{
		Serve: func(string, link.Handler) {},
		Call: func(_ context.Context, _ ident.InstanceID, _ string, _, resp proto.Message) error {
			if proto.MessageName(resp) == proto.MessageName(reply) {
				proto.Merge(resp, reply)
			}
			return nil
		},
	}
	s.prepare(metrics.NewRegistry())
	for revision, raw := range []string{"Domains: [a, b]\n", fuzzText} {
		snapshot, err := config.NewSnapshot(ident.Revision(6+revision), "edit", []byte(raw), time.Now())
		if err != nil {
			t.Fatal(err)
		}
		s.holder.Update(snapshot)
	}
	return s
}

// fuzzedMessages are the kinds of messages that an instance gets.
var fuzzedMessages = []struct {
	empty  func() proto.Message
	handle func(ctx context.Context, s *Service, m proto.Message)
}{
	{func() proto.Message { return &Announcement{} }, func(ctx context.Context, s *Service, m proto.Message) {
		_, _ = s.serveAnnounce(ctx, "b1", m.(*Announcement))
	}},
	{func() proto.Message { return &PullRequest{} }, func(ctx context.Context, s *Service, m proto.Message) {
		_, _ = s.servePull(ctx, "b1", m.(*PullRequest))
	}},
	{func() proto.Message { return &PullReply{} }, func(_ context.Context, s *Service, _ proto.Message) {
		if !s.pull("b1", s.currentAsBase()) {
			s.pull("b1", config.EarlierText{})
		}
	}},
	{func() proto.Message { return &SurveyReply{} }, func(ctx context.Context, s *Service, _ proto.Message) { s.CollectStatus(ctx) }},
	{func() proto.Message { return &ConfirmationReply{} }, func(_ context.Context, s *Service, _ proto.Message) { s.requestConfirmation() }},
}

// pullReply returns the reply with a text, as a delta if base has a revision.
func pullReply(revision int64, raw string, base config.EarlierText) *PullReply {
	sum := sha256.Sum256([]byte(raw))
	packed, _ := pack([]byte(raw), base)
	return &PullReply{Revision: revision, EditId: "e", Digest: hex.EncodeToString(sum[:]), Packed: packed}
}

// fuzzSeeds are messages by their kind's position in fuzzedMessages.
func fuzzSeeds() map[int][]proto.Message {
	base := config.EarlierText{Revision: 7, Raw: []byte(fuzzText)}
	mismatch := pullReply(9, "Domains: [a, b]\n", base)
	mismatch.Digest = "x"
	return map[int][]proto.Message{
		0: {&Announcement{Revision: 8}, &Announcement{Revision: -1}, &Announcement{Revision: math.MaxInt64}},
		1: {&PullRequest{}, &PullRequest{Have: 6}, &PullRequest{Have: -1}, &PullRequest{Have: math.MaxInt64}},
		2: {
			pullReply(8, "Domains: [a, c]\n", base), pullReply(8, "Domains: [a, c]\n", config.EarlierText{}), pullReply(6, "Domains: [c]\n", base), pullReply(-1, "Domains: [c]\n", base),
			pullReply(math.MaxInt64, "Domains: [c]\n", base), pullReply(8, "Domains: 7\n", base), pullReply(8, string(make([]byte, 2*text.MaxBytes)), config.EarlierText{}), mismatch, &PullReply{Revision: 8},
		},
		3: {&SurveyReply{Instances: []*InstanceRevision{nil, {Instance: "b1", State: "Live", Revision: -1, HeardAgoMs: math.MinInt64}, {State: "x", Revision: math.MaxInt64}}}},
		4: {&ConfirmationReply{Known: true, AgeMs: 5}, &ConfirmationReply{Known: true, AgeMs: -5}, &ConfirmationReply{Known: true, AgeMs: math.MaxInt64}},
	}
}

// checkInForce fails the test if the snapshot in force is older than before or isn't the text
// of its digest.
func checkInForce(t *testing.T, s *Service) {
	t.Helper()
	c := s.holder.Current()
	sum := sha256.Sum256(c.Raw)
	if c.Revision < 7 || c.Text == nil || c.Digest != hex.EncodeToString(sum[:]) || len(c.Raw) > text.MaxBytes {
		t.Errorf("revision %d with digest %q is in force", c.Revision, c.Digest)
	}
	if s.LastConfirmed().After(time.Now()) {
		t.Errorf("confirmed at %v", s.LastConfirmed())
	}
}

// FuzzMessages guards against messages of other instances that panic, take long, put an older or
// an invalid text in force, or keep the next revision from being in force.
func FuzzMessages(f *testing.F) {
	for kind, list := range fuzzSeeds() {
		for _, m := range list {
			raw, _ := proto.Marshal(m)
			f.Add(uint8(kind), raw)
		}
	}
	f.Fuzz(func(t *testing.T, kind uint8, raw []byte) {
		k := fuzzedMessages[int(kind)%len(fuzzedMessages)]
		m := k.empty()
		if proto.Unmarshal(raw, m) != nil {
			return
		}
		started, violations := time.Now(), invariant.Violations()
		s := newFuzzedService(t, m)
		defer s.cancel()
		k.handle(context.Background(), s, m)
		checkInForce(t, s)
		next := s.holder.Revision()
		if next < math.MaxInt64 {
			next++
		}
		if !s.acceptPullReply(pullReply(int64(next), "Domains: [next]\n", s.currentAsBase()), s.currentAsBase(), "b1") || s.holder.Revision() != next {
			t.Errorf("revision %d is in force, want %d", s.holder.Revision(), next)
		}
		if elapsed := time.Since(started); elapsed > fuzzInputTime || invariant.Violations() != violations {
			t.Errorf("%d bytes took %v and violated %d invariants", len(raw), elapsed, invariant.Violations()-violations)
		}
	})
}
