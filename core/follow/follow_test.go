package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// script is a source whose calls a test answers in turn.
type script struct {
	mu      sync.Mutex
	lists   int
	watches []int64 // Revisions that were watched on from.
	watch   func(n int) ([]Item, int64, error)
	list    func(n int) ([]Item, int64, error)
}

func (s *script) source() Source {
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

// run follows a script for a while and returns what was taken.
func run(t *testing.T, s *script) (listed, news []Item, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	f = &Follower{
		Source: s.source(), Log: log.NewNopLogger(), Now: time.Now,
		OnList: func(items []Item, _ int64) { listed = append(listed, items...) },
		OnNews: func(items []Item) { news = append(news, items...) },
	}
	f.Run(ctx)
	return listed, news, f
}

// TestLostHistoryIsListed loses the history between two watches.
func TestLostHistoryIsListed(t *testing.T) {
	s := &script{
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
	listed, news, _ := run(t, s)
	if len(listed) != 2 || len(news) != 1 {
		t.Errorf("listed %v, news %v", listed, news)
	}
	if len(s.watches) != 3 || s.watches[0] != 10 || s.watches[1] != 12 || s.watches[2] != 20 {
		t.Errorf("watched after %v, want 10, 12, 20", s.watches)
	}
}

// TestCutWatchGoesOn cuts one watch: the list need not be read again.
func TestCutWatchGoesOn(t *testing.T) {
	s := &script{
		list: func(int) ([]Item, int64, error) { return nil, 5, nil },
		watch: func(n int) ([]Item, int64, error) {
			if n == 1 {
				return nil, 0, errors.New("cut")
			}
			return nil, 0, nil
		},
	}
	if _, _, f := run(t, s); s.lists != 1 {
		t.Errorf("%d lists", s.lists)
	} else if healthy, _ := f.Healthy(); healthy {
		t.Error("healthy after the end")
	}
}

// TestFailedWatchIsNotRelied hangs the second try of a watch: others have to be told
// that this instance's news are not fresh, but the store is not lost.
func TestFailedWatchIsNotRelied(t *testing.T) {
	regained := 0
	s := &script{
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
		Source: s.source(), Log: log.NewNopLogger(), Now: time.Now,
		OnList: func([]Item, int64) {}, OnNews: func([]Item) {}, Regains: func(time.Time) { regained++ },
	}
	go f.Run(ctx)
	time.Sleep(100 * time.Millisecond)
	if healthy, _ := f.Healthy(); healthy || regained != 0 {
		t.Errorf("healthy %v, regained %d times", healthy, regained)
	}
}

// TestStoreAway has the store fail for a while.
func TestStoreAway(t *testing.T) {
	s := &script{
		list: func(n int) ([]Item, int64, error) {
			if n < 3 {
				return nil, 0, errors.New("down")
			}
			return []Item{{Key: "k"}}, 1, nil
		},
		watch: func(int) ([]Item, int64, error) { return nil, 0, nil },
	}
	if listed, _, _ := run(t, s); len(listed) != 1 || s.lists != 3 {
		t.Errorf("listed %v after %d tries", listed, s.lists)
	}
}

// TestNewsIsGathered has changes come one by one, faster than calls should be made.
func TestNewsIsGathered(t *testing.T) {
	s := &script{
		list:  func(int) ([]Item, int64, error) { return nil, 0, nil },
		watch: func(n int) ([]Item, int64, error) { return []Item{{Key: "k", Revision: int64(n)}}, int64(n), nil },
	}
	_, news, _ := run(t, s)
	if most := int(500*time.Millisecond/gather) + 1; len(news) == 0 || len(s.watches) > most {
		t.Errorf("%d watches in 0.5 s, want 1 to %d", len(s.watches), most)
	}
}
