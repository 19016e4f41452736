package membership

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"
)

// fuzzDigests are digests of other instances.
func fuzzDigests() []*Digest {
	known := uint64(Member{ID: "b1"}.hash())
	return []*Digest{
		{}, {Members: []uint64{known}, Counters: []int64{9}, Revisions: []int64{7}, Domains: []string{"a", "x", ""}}, {Members: []uint64{known}},
		{Members: []uint64{known, known, 1}, Counters: []int64{1 << 62, -1, 0}, Revisions: []int64{-1, 1 << 62, 0}, Leaving: []uint64{known}, Gone: []uint64{2}},
		{Counters: []int64{1}, Revisions: []int64{1}},
	}
}

// FuzzDigest guards against a digest of another instance that panics, takes long, or makes
// this instance count itself as ended.
func FuzzDigest(f *testing.F) {
	for _, d := range fuzzDigests() {
		raw, _ := proto.Marshal(d)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		d := &Digest{}
		if proto.Unmarshal(raw, d) != nil {
			return
		}
		started := time.Now()
		table := NewTable(Member{ID: "a1", Domain: "a"}, log.NewNopLogger(), time.Now)
		table.RecordHeartbeat(Member{ID: "b1", Domain: "a", Counter: 1})
		table.Merge(d)
		if elapsed := time.Since(started); elapsed > 2*time.Second {
			t.Errorf("%d bytes took %v", len(raw), elapsed)
		}
		if len(table.View().Live("a")) == 0 || table.Self().State != Live {
			t.Errorf("this instance is in state %v after its merge", table.Self().State)
		}
	})
}
