package claims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
)

// countingStore counts the reads and writes of a store and the bytes of their values.
type countingStore struct {
	Store
	reads, writes, bytes atomic.Int64
}

// newCountingStore returns a store that counts and calls s.
func newCountingStore(s Store) *countingStore {
	c := &countingStore{}
	c.Store = Store{
		Get: func(ctx context.Context, key string) (keyvalue.Listing, error) {
			l, err := s.Get(ctx, key)
			c.reads.Add(1)
			for _, e := range l.Entries {
				c.bytes.Add(int64(len(e.Value)))
			}
			return l, err
		},
		List: func(ctx context.Context, prefix string) (keyvalue.Listing, error) {
			l, err := s.List(ctx, prefix)
			c.reads.Add(1)
			for _, e := range l.Entries {
				c.bytes.Add(int64(len(e.Value)))
			}
			return l, err
		},
		CompareAndSwap: func(ctx context.Context, key string, value []byte, at keyvalue.Index) (keyvalue.Outcome, error) {
			c.writes.Add(1)
			c.bytes.Add(int64(len(value)))
			return s.CompareAndSwap(ctx, key, value, at)
		},
		Delete: func(ctx context.Context, key string, at keyvalue.Index) (keyvalue.Outcome, error) {
			c.writes.Add(1)
			return s.Delete(ctx, key, at)
		},
	}
	return c
}

// BenchmarkClaimAndComplete measures the store operations per call, for a claim and
// its completion, with several concurrent calls in one log.
func BenchmarkClaimAndComplete(b *testing.B) {
	for _, concurrency := range []int{1, 2, 8} {
		b.Run(fmt.Sprintf("Concurrency%d", concurrency), func(b *testing.B) {
			s := newCountingStore(newMemoryStore(1, 0, 0).asStore())
			l := startTestShard(b, s.Store)
			for n := 0; n < b.N; n += concurrency {
				var wg sync.WaitGroup
				for k := range concurrency {
					wg.Go(func() { claimAndComplete(b, l, fmt.Sprintf("%d-%d", n, k)) })
				}
				wg.Wait()
			}
			calls := float64(b.N)
			b.ReportMetric(float64(s.reads.Load())/calls, "reads/call")
			b.ReportMetric(float64(s.writes.Load())/calls, "writes/call")
			b.ReportMetric(float64(s.bytes.Load())/calls, "storebytes/call")
		})
	}
}

// claimAndComplete claims a call and records its answer.
func claimAndComplete(tb testing.TB, s *shard, key string) {
	e := newClaimEntry(key, 1)
	if v := s.submit(context.Background(), e); v.err != nil {
		tb.Error(v.err)
	}
	e.Op, e.Answer = Done, &Answer{Status: 201, ContentType: "application/json", Body: []byte(`{"id":"` + ident.NewRequestID() + `"}`)}
	if v := s.submit(context.Background(), e); v.err != nil {
		tb.Error(v.err)
	}
}
