package claims

import (
	"math"
	"testing"
	"time"

	"monsoonfork/core/fault"
)

// TestExpiredClaimIsNotWritten guards against a claim from an instance whose clock is behind by
// more than the retention, which was written to the store again and again until its timeout, as
// it had expired before it was read.
func TestExpiredClaimIsNotWritten(t *testing.T) {
	for _, at := range []int64{math.MinInt64, 0, time.Now().Add(-2 * time.Hour).UnixMilli()} {
		s, stop := newFuzzedService(nil)
		e := claimMessage("k", 1)
		e.AtUnixMs = at
		if _, err := appendTo(s, e, 200*time.Millisecond); !fault.Is(err, fault.BadRequest) {
			t.Errorf("claim of %d: %v, want BadRequest", at, err)
		}
		if ok, err := appendTo(s, claimMessage("k", 2), fuzzInputTime); !ok {
			t.Errorf("the next claim: %v", err)
		}
		stop()
		if head := s.shards[shardOf(newClaimEntry("k", 1).Call)].log.head; len(head.Entries) != 1 || head.Seq != 0 {
			t.Errorf("claim of %d: the log has %d entries in segment %d", at, len(head.Entries), head.Seq)
		}
	}
}
