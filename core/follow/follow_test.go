package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/boottime"
)

// scriptedSource is a source with answers that depend on the number of the call.
type scriptedSource struct {
	mu      sync.Mutex
	lists   int
	watches []int64 // Revisions of the calls of Watch.
	watch   func(n int) ([]Item, int64, error)
	list    func(n int) ([]Item, int64, error)
}

func (s *scriptedSource) source() Source {
	return Source{
		List: func(context.Context) ([]Item, int64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.lists++
			return s.list(s.lists)
		},
		Watch: func(ctx context.Context, after int64) ([]Item, int64, error) {
			s.mu.Lock()
			s.watches = append(s.watches, after)
			n := len(s.watches)
			s.mu.Unlock()
			items, next, err := s.watch(n)
			if items == nil && err == nil {
				<-ctx.Done()
				return nil, 0, ctx.Err()
			}
			return items, next, err
		},
	}
}

// runFollower runs a follower for 500 ms and returns the items that it passed on.
func runFollower(t *testing.T, s *scriptedSource) (listed, changes []Item, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	f = &Follower{
		Source: s.source(), Log: log.NewNopLogger(), Now: time.Now, BootTime: boottime.Now, OnCurrent: func(boottime.Instant) {},
		OnList:    func(items []Item, _ int64) { listed = append(listed, items...) },
		OnChanges: func(items []Item) { changes = append(changes, items...) },
		started:   time.Now().Add(-startTime),
	}
	f.Run(ctx)
	return listed, changes, f
}

// TestCompactedHistoryIsRelisted checks that the follower lists again, and watches from the
// new list, when the store has compacted the history between two watches.
func TestCompactedHistoryIsRelisted(t *testing.T) {
	s := &scriptedSource{
		list: func(n int) ([]Item, int64, error) { return []Item{{Key: "k", Revision: int64(n)}}, int64(10 * n), nil },
		watch: func(n int) ([]Item, int64, error) {
			switch n {
			case 1:
				return []Item{{Key: "k", Revision: 12}}, 12, nil
			case 2:
				return nil, 0, ErrCompacted
			}
			return nil, 0, nil
		},
	}
	listed, changes, _ := runFollower(t, s)
	if len(listed) != 2 || len(changes) != 1 {
		t.Errorf("listed %v, changes %v", listed, changes)
	}
	if len(s.watches) != 3 || s.watches[0] != 10 || s.watches[1] != 12 || s.watches[2] != 20 {
		t.Errorf("watched after %v, want 10, 12, 20", s.watches)
	}
}

// TestFailedWatchResumes checks that one failed watch doesn't cause another list.
func TestFailedWatchResumes(t *testing.T) {
	s := &scriptedSource{
		list: func(int) ([]Item, int64, error) { return nil, 5, nil },
		watch: func(n int) ([]Item, int64, error) {
			if n == 1 {
				return nil, 0, errors.New("connection closed")
			}
			return nil, 0, nil
		},
	}
	if _, _, f := runFollower(t, s); s.lists != 1 {
		t.Errorf("%d lists, want 1", s.lists)
	} else if healthy, _ := f.Healthy(); healthy {
		t.Error("healthy after Run returned")
	}
}

// TestFailedWatchReportsUnhealthy checks that the follower is unhealthy after a failed
// watch while the next one gets no answer, but doesn't report that the store answers again.
func TestFailedWatchReportsUnhealthy(t *testing.T) {
	recovered := 0
	s := &scriptedSource{
		list: func(int) ([]Item, int64, error) { return nil, 5, nil },
		watch: func(n int) ([]Item, int64, error) {
			if n == 1 {
				return nil, 0, errors.New("no answer")
			}
			return nil, 0, nil
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &Follower{
		Source: s.source(), Log: log.NewNopLogger(), Now: time.Now, BootTime: boottime.Now, OnCurrent: func(boottime.Instant) {},
		OnList: func([]Item, int64) {}, OnChanges: func([]Item) {}, OnRecovered: func(time.Time) { recovered++ },
	}
	go f.Run(ctx)
	time.Sleep(100 * time.Millisecond)
	if healthy, _ := f.Healthy(); healthy || recovered != 0 {
		t.Errorf("healthy %v, recovered %d times", healthy, recovered)
	}
}

// TestFailedListIsRetried checks that a failing list is called again until it succeeds.
func TestFailedListIsRetried(t *testing.T) {
	s := &scriptedSource{
		list: func(n int) ([]Item, int64, error) {
			if n < 3 {
				return nil, 0, errors.New("down")
			}
			return []Item{{Key: "k"}}, 1, nil
		},
		watch: func(int) ([]Item, int64, error) { return nil, 0, nil },
	}
	if listed, _, _ := runFollower(t, s); len(listed) != 1 || s.lists != 3 {
		t.Errorf("listed %v after %d tries", listed, s.lists)
	}
}

// TestListAfterEndOfEra guards against a follower that continues with what it had before the store came
// back from an older copy, or that reports an outage for it.
func TestListAfterEndOfEra(t *testing.T) {
	s := &scriptedSource{
		list: func(n int) ([]Item, int64, error) { return nil, int64(n), nil },
		watch: func(n int) ([]Item, int64, error) {
			if n == 1 {
				return nil, 0, ErrEraEnded
			}
			return nil, 0, nil
		},
	}
	ctx, cancel := context.WithTimeout(t.Context(), batchDelay)
	defer cancel()
	lost := false
	f := &Follower{
		Source: s.source(), Log: log.NewNopLogger(), Now: time.Now, BootTime: boottime.Now, OnCurrent: func(boottime.Instant) {},
		OnList: func([]Item, int64) {}, OnChanges: func([]Item) {}, OnLost: func() { lost = true },
	}
	f.Run(ctx)
	if s.lists != 2 || len(s.watches) != 2 || s.watches[1] != 2 || lost {
		t.Errorf("%d lists, watches from %v, outage %v; want a second list and a watch from it", s.lists, s.watches, lost)
	}
}

// TestChangesAreBatched checks that the follower waits batchDelay between watches when
// changes arrive one by one and faster than that.
func TestChangesAreBatched(t *testing.T) {
	s := &scriptedSource{
		list:  func(int) ([]Item, int64, error) { return nil, 0, nil },
		watch: func(n int) ([]Item, int64, error) { return []Item{{Key: "k", Revision: int64(n)}}, int64(n), nil },
	}
	_, changes, _ := runFollower(t, s)
	if maxWatches := int(500*time.Millisecond/batchDelay) + 1; len(changes) == 0 || len(s.watches) > maxWatches {
		t.Errorf("%d watches in 0.5 s, want 1 to %d", len(s.watches), maxWatches)
	}
}
