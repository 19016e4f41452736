package quarantine

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/boottime"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// TestLatePermissionIsNoTrial guards against an instance that was paused while it asked for a
// permission, and tries the part when another instance may have got the next one.
func TestLatePermissionIsNoTrial(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Minute} {
		boot := boottime.Now()
		call := func(_ context.Context, _ ident.InstanceID, _ string, _, resp proto.Message) error {
			boot = boot.Add(pause)
			proto.Merge(resp, &TrialReply{Granted: true})
			return nil
		}
		table := membership.NewTable(membership.Member{ID: "a1", Domain: "a"}, log.NewNopLogger(), time.Now)
		table.RecordHeartbeat(membership.Member{ID: "a2", Domain: "a", PeerAddress: "a2"})
		q := New("a1", log.NewNopLogger(), metrics.NewRegistry(), time.Now, WithPeers(table.View, call), WithBootTime(func() boottime.Instant { return boot }))
		asked := 0
		for n := range 64 { // Some of the parts are owned by the other instance.
			h := Hold{Scope: deadlyPrompt.Scope, Part: ident.PartID(string(rune('a' + n)))}
			owner, _ := table.View().GlobalOwner("quarantine/" + string(h.Service) + "/" + string(h.Model) + "/" + string(h.Part))
			if owner.ID == "a1" {
				continue
			}
			asked++
			if got, want := q.takeTrial(t.Context(), h), pause == 0; got != want {
				t.Errorf("after a pause of %v: trial %v, want %v", pause, got, want)
				break
			}
		}
		if asked == 0 {
			t.Error("no part is owned by the other instance")
		}
	}
}
