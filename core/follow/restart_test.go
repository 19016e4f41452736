package follow

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/boottime"
)

// storeReports counts what a follower reports about the store.
type storeReports struct{ lost, recovered int }

// newReportingFollower returns a follower that counts its reports, and a function that calls
// Run until the follower has listed the store or has reported that it is lost. The list fails
// while *listErr is set.
func newReportingFollower(listErr *error) (f *Follower, reports *storeReports, run func()) {
	reports = &storeReports{}
	var end context.CancelFunc
	f = &Follower{
		Source: Source{
			List: func(context.Context) ([]Item, int64, error) { return nil, 1, *listErr },
			Watch: func(ctx context.Context, _ int64) ([]Item, int64, error) {
				end()
				return nil, 0, ctx.Err()
			},
		},
		Log: log.NewNopLogger(), Now: time.Now, BootTime: boottime.Now, OnCurrent: func(boottime.Instant) {},
		OnList: func([]Item, int64) {}, OnChanges: func([]Item) {},
		OnLost:      func() { reports.lost++; end() },
		OnRecovered: func(time.Time) { reports.recovered++ },
	}
	return f, reports, func() {
		var ctx context.Context
		ctx, end = context.WithTimeout(context.Background(), runLimit)
		defer end()
		f.Run(ctx)
	}
}

// runLimit ends a Run whose follower reports nothing.
const runLimit = time.Second

// TestNextRunIsNoRecovery guards against removals of engines that are delayed as after an
// outage of the store, although this instance had only stopped following the store.
func TestNextRunIsNoRecovery(t *testing.T) {
	var noError error
	f, reports, run := newReportingFollower(&noError)
	for range 3 {
		run()
		if healthy, _ := f.Healthy(); healthy {
			t.Error("healthy after Run returned")
		}
	}
	if *reports != (storeReports{}) {
		t.Errorf("reports %+v without an outage", *reports)
	}
}

// TestOutageAtStartIsReported guards against an outage that is not reported, as it began
// before Run: each Run reports it once, and its end once.
func TestOutageAtStartIsReported(t *testing.T) {
	listErr := errors.New("down")
	_, reports, run := newReportingFollower(&listErr)
	run()
	if want := (storeReports{lost: 1}); *reports != want {
		t.Errorf("reports %+v in the outage, want %+v", *reports, want)
	}
	run()
	if want := (storeReports{lost: 2}); *reports != want {
		t.Errorf("reports %+v in the outage of the next Run, want %+v", *reports, want)
	}
}

// TestOutageThatOutlastsRunIsRecovered guards against engines that are taken for gone since
// they had no time to register again: the store became reachable between two Runs.
func TestOutageThatOutlastsRunIsRecovered(t *testing.T) {
	listErr := errors.New("down")
	_, reports, run := newReportingFollower(&listErr)
	run()
	listErr = nil
	run()
	run()
	if want := (storeReports{lost: 1, recovered: 1}); *reports != want {
		t.Errorf("reports %+v, want %+v", *reports, want)
	}
}
