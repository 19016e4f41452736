package quarantine

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/ident"
)

// FuzzExchange applies messages of another instance, however odd. They must not panic, hold a sound
// part that this instance has seen in answers, or be kept beyond the limits.
func FuzzExchange(f *testing.F) {
	known := Prompt{Scope: Scope{Service: "s", Model: "m"}, Parts: []ident.PartID{"5c", "own"}}
	crash := func(age int64, parts ...string) *CrashRecord {
		return &CrashRecord{Engine: "e", Started: 1, Reporter: "r", Service: "s", Model: "m", Parts: parts, AgeMs: age}
	}
	for _, m := range []*Exchange{
		{},
		{Crashes: []*CrashRecord{crash(0, "5c"), crash(1<<62, "5c"), crash(-1, "5c"), crash(5), crash(5, "")}, Relay: true, Digest: 7},
		{Cleared: []*ClearedPart{{Service: "s", Model: "m", Part: "5c", AgeMs: 3}, {Part: "5c"}, {Service: "s", Part: "", AgeMs: -9}}},
	} {
		raw, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		q := New("self", log.NewNopLogger(), metrics.NewRegistry(), time.Now)
		q.RecordAnswer(known)
		m := &Exchange{}
		if proto.Unmarshal(raw, m) != nil {
			return
		}
		if _, err := q.ServeExchange(context.Background(), "peer", m); err != nil {
			t.Error(err)
		}
		if q.IsHeld(known) {
			t.Error("a part that was in an answer is held after one message")
		}
		for scope, e := range q.allEvidence() {
			if len(e.crashes) > maxCrashes {
				t.Errorf("%v: %d crashes are kept", scope, len(e.crashes))
			}
		}
		if err := q.ApplyStored("other", raw); err != nil {
			t.Error(err)
		}
	})
}
