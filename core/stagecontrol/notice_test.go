package stagecontrol

import (
	"strings"
	"testing"
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// invalidNotices are values that another writer may leave at the key of the notice.
var invalidNotices = []string{
	"", "[]", "7", "{", `{"Changes":7}`, `{"Changes":[7]}`, `{"Changes":[{"Engine":7,"To":1}]}`, `{"Changes":[{"Engine":"e","To":"Decode"}]}`,
	`{"Changes":[{"Engine":"e","To":1.5}]}`, `{"Changes":[{"Engine":"e","To":1e400}]}`, `{"Changes":[{"Engine":"e","To":0}]}`,
	`{"Changes":[{"Engine":"e","To":99}]}`, `{"Changes":[{"Engine":"e","To":-1}]}`, strings.Repeat("[", 100_000), "\xff",
}

// noChangeTime is the time of a stage change that the configuration does not state.
func noChangeTime() time.Duration { return 0 }

// newTestBoard returns a board and the stages of the engines that it has excluded.
func newTestBoard() (*NoticeBoard, map[ident.EndpointID]engines.Stage) {
	excluded := make(map[ident.EndpointID]engines.Stage)
	b := &NoticeBoard{Now: time.Now, ChangeTime: noChangeTime, Exclude: func(id ident.EndpointID, to engines.Stage, _ time.Time) { excluded[id] = to }}
	return b, excluded
}

// TestInvalidNoticeIsNotKept guards against an invalid notice that excludes engines from
// requests, is passed on to other instances, or hides the valid one before it.
func TestInvalidNoticeIsNotKept(t *testing.T) {
	b, excluded := newTestBoard()
	const valid = `{"Holder":"h","Changes":[{"Engine":"good","To":2}]}`
	if err := b.Put([]byte(valid), 1); err != nil {
		t.Fatal(err)
	}
	for i, raw := range invalidNotices {
		if err := b.Put([]byte(raw), int64(i+2)); !fault.Is(err, fault.BadText) {
			t.Errorf("notice %.60q: %v, want BadText", raw, err)
		}
	}
	if raw, revision := b.Newest(); string(raw) != valid || revision != 1 {
		t.Errorf("newest notice %.60q at revision %d, want the valid one", raw, revision)
	}
	if len(excluded) != 1 || excluded["good"] != engines.Decode {
		t.Errorf("excluded engines %v, want only good", excluded)
	}
}

// TestSlowStageChangeExcludesLonger guards against requests to an engine, or a second order to
// it, while it still changes its stage, if that takes longer than usual.
func TestSlowStageChangeExcludesLonger(t *testing.T) {
	now := time.Now()
	for change, want := range map[time.Duration]time.Duration{0: stageChangeTime, 2 * time.Second: stageChangeTime, time.Minute: time.Minute + 8*time.Second} {
		var until time.Time
		b := &NoticeBoard{Now: func() time.Time { return now }, ChangeTime: func() time.Duration { return change }}
		b.Exclude = func(_ ident.EndpointID, _ engines.Stage, end time.Time) { until = end }
		if err := b.Put([]byte(`{"Changes":[{"Engine":"e","To":1}]}`), 1); err != nil || until.Sub(now) != want {
			t.Errorf("change of %v: excluded for %v, %v; want %v", change, until.Sub(now), err, want)
		}
	}
	f := newFleet(4, 8)
	f.dropAnswers = true
	c := f.controller("a")
	c.ChangeTime = func() time.Duration { return time.Minute }
	f.advance(time.Minute, c)
	if len(f.orders) != 1 {
		t.Errorf("%d orders within a change of a minute, want 1", len(f.orders))
	}
}

// FuzzNotice guards against notices that panic the decoder or exclude an engine until it
// has a stage that does not exist.
func FuzzNotice(f *testing.F) {
	for _, raw := range invalidNotices {
		if len(raw) < 1000 {
			f.Add([]byte(raw), int64(1))
		}
	}
	f.Add([]byte(`{"Holder":"h","Changes":[{"Engine":"e","To":1},{"Engine":"f","To":2}]}`), int64(7))
	f.Add([]byte(`{}`), int64(-1))
	f.Fuzz(func(t *testing.T, raw []byte, revision int64) {
		b, excluded := newTestBoard()
		err := b.Put(raw, revision)
		for id, to := range excluded {
			if err != nil || (to != engines.Prefill && to != engines.Decode) {
				t.Errorf("engine %q excluded until stage %d, error %v", id, to, err)
			}
		}
		if kept, _ := b.Newest(); err != nil && kept != nil {
			t.Errorf("kept an invalid notice %q", kept)
		}
	})
}
