package relay

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

// confirmedBy returns a service after a request for a confirmation to an instance that answers
// with reply, and whether the confirmation counts as recent.
func confirmedBy(reply *ConfirmationReply, now time.Time) (*Service, bool) {
	s := &Service{now: func() time.Time { return now }, ctx: context.Background(), log: log.NewNopLogger()}
	s.links = &link.Links{Call: func(_ context.Context, _ ident.InstanceID, _ string, _, resp proto.Message) error {
		proto.Merge(resp, reply)
		return nil
	}}
	return s, s.requestConfirmationFrom("b")
}

// TestConfirmationIsNotInTheFuture guards against a confirmation with a negative age, such as
// after a step of another instance's clock, or with one that overflows, after which keys are
// accepted although the store has confirmed nothing for long.
func TestConfirmationIsNotInTheFuture(t *testing.T) {
	now := time.Now()
	for _, age := range []int64{-1, -3_600_000, math.MinInt64, math.MaxInt64, math.MaxInt64 / 1_000_000 * 2, 1 << 44} {
		s, recent := confirmedBy(&ConfirmationReply{Known: true, AgeMs: age}, now)
		if recent || s.LastConfirmed().After(now) {
			t.Errorf("age of %d ms: recent %v, confirmed at %v", age, recent, s.LastConfirmed().Sub(now))
		}
	}
	s, recent := confirmedBy(&ConfirmationReply{Known: true, AgeMs: 700}, now)
	if age := now.Sub(s.LastConfirmed()); !recent || age < 700*time.Millisecond || age > 702*time.Millisecond {
		t.Errorf("age of 700 ms: recent %v, confirmed %v ago", recent, age)
	}
}
