package matrix

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"monsoonfork/platform/standin"
)

// outcomeCases are answers and runs with the outcome that they are.
var outcomeCases = []struct {
	name    string
	row     Row
	answer  standin.Answer
	runs    []string // Services.
	took    time.Duration
	closed  bool
	log     string
	outcome Outcome
}{
	{name: "whole", row: Row{AtEngine, Unsafe}, answer: standin.Answer{Status: 200}, runs: []string{"plain"}, log: "answered", outcome: Whole},
	{name: "no line", row: Row{AtEngine, Unsafe}, answer: standin.Answer{Status: 200}, runs: []string{"plain"}, outcome: Unlogged},
	{name: "twice", row: Row{AtEngine, Unsafe}, answer: standin.Answer{Status: 200}, runs: []string{"plain", "plain"}, log: "answered", outcome: TooManyRuns},
	{name: "hedged", row: Row{Hedged, Safe}, answer: standin.Answer{Status: 200}, runs: []string{"plain", "plain"}, log: "answered", outcome: Whole},
	{name: "other service", row: Row{AtEngine, Unsafe}, answer: standin.Answer{Status: 200}, runs: []string{otherPlain}, log: "answered", outcome: WrongService},
	{name: "late", row: Row{AtEngine, Unsafe}, answer: standin.Answer{Status: 504}, runs: []string{"plain"}, took: requestTimeout + time.Second, log: "failed", outcome: Late},
	{name: "refused", row: Row{NotHandled, Unsafe}, answer: standin.Answer{Status: 503, RetryAfter: time.Second}, log: "refused", outcome: Refused},
	{name: "no time", row: Row{NotHandled, Unsafe}, answer: standin.Answer{Status: 503}, log: "refused", outcome: NoRetryTime},
	{name: "refused after a run", row: Row{AtEngine, Unsafe}, answer: standin.Answer{Status: 503, RetryAfter: time.Second}, runs: []string{"plain"}, log: "refused", outcome: FalseRefusal},
	{name: "broken off", row: Row{MidStream, OnceStream}, answer: standin.Answer{Status: 200, Err: errors.New("EOF")}, runs: []string{"model"}, log: "failed", outcome: BrokenOff},
	{name: "lost", row: Row{AtEngine, Unsafe}, answer: standin.Answer{Err: errors.New("EOF")}, runs: []string{"plain"}, log: "failed", outcome: Lost},
	{name: "lost unsent", row: Row{NotHandled, Unsafe}, answer: standin.Answer{Err: errors.New("EOF")}, took: time.Second, log: "failed", outcome: Lost},
	{name: "crossed", row: Row{KeptIdle, Unsafe}, answer: standin.Answer{Err: errors.New("EOF")}, took: time.Millisecond, outcome: Crossed},
	{name: "closed", row: Row{KeptIdle, Unsafe}, answer: standin.Answer{Err: errors.New("EOF")}, closed: true, outcome: ClosedBefore},
	{name: "no route", row: Row{Accepted, Safe}, answer: standin.Answer{Status: 404}, log: "refused", outcome: NotAllowed},
	{name: "unknown", row: Row{AtEngine, Unsafe}, answer: standin.Answer{Status: 502}, runs: []string{"plain"}, log: "failed", outcome: Unknown},
	{name: "wrong bytes", row: Row{AtEngine, Unsafe}, answer: standin.Answer{Status: 200, Problem: "signature"}, runs: []string{"plain"}, log: "answered", outcome: Invalid},
}

// TestClassify classifies answers and runs.
func TestClassify(t *testing.T) {
	for _, tc := range outcomeCases {
		sentAt := time.Now()
		c := &call{row: tc.row, request: newRequest(tc.row, "r"), reached: true, closedBefore: tc.closed, sentWhole: !tc.closed, sentAt: sentAt, answer: tc.answer, endedAt: sentAt.Add(tc.took)}
		var runs []standin.Run
		for _, service := range tc.runs {
			runs = append(runs, standin.Run{Service: service})
		}
		log := ""
		if tc.log != "" {
			log = "level=info request=r msg=" + tc.log + " took_ms=1\n"
		}
		if got := c.classify(Events{Hangup}, runs, log); got != tc.outcome {
			t.Errorf("%s: %s, want %s", tc.name, got, tc.outcome)
		}
	}
}

// TestRulesNeverAllowALoss checks that no cell allows an outcome that the rules never allow,
// and that a close is allowed only for connections without a request while the instance stops.
func TestRulesNeverAllowALoss(t *testing.T) {
	for e := range eventCount {
		for _, r := range Rows() {
			allowed := Allowed(e, r)
			if !e.isStop() && slices.Contains(allowed, BrokenOff) {
				t.Errorf("%s, %s allows %s", e, r, BrokenOff)
			}
			for _, o := range []Outcome{Lost, FalseRefusal, TooManyRuns, WrongService, Late, NoRetryTime, Unlogged, Invalid, NotReached} {
				if slices.Contains(allowed, o) {
					t.Errorf("%s, %s allows %s", e, r, o)
				}
			}
			closes := slices.Contains(allowed, ClosedBefore) || slices.Contains(allowed, Crossed)
			if closes && (!e.isStop() || r.State != Accepted && r.State != KeptIdle) || len(allowed) == 0 {
				t.Errorf("%s, %s allows %v", e, r, allowed)
			}
		}
	}
}

// TestEveryPairOfStateAndKindIsCoveredOrExplained checks that no pair is left out silently, and
// that no two rows share a request id.
func TestEveryPairOfStateAndKindIsCoveredOrExplained(t *testing.T) {
	if got, want := len(Rows())+len(Unreachable()), int(stateCount)*int(kindCount); got != want {
		t.Errorf("%d pairs, want %d", got, want)
	}
	ids := make(map[string]bool)
	for _, r := range Rows() {
		if ids[r.id()] {
			t.Errorf("%s: id %s is used twice", r, r.id())
		}
		ids[r.id()] = true
	}
}

// TestTableMarksWhatIsNotAllowed reads the table of two cells.
func TestTableMarksWhatIsNotAllowed(t *testing.T) {
	got := Table([]Cell{
		{Events: Events{Hangup}, Row: Row{Accepted, Safe}, Outcome: Whole},
		{Events: Events{Hangup}, Row: Row{Accepted, Unsafe}, Outcome: Lost},
	})
	if !strings.Contains(got, "| Hangup | Whole, **Lost** |") {
		t.Errorf("table:\n%s", got)
	}
}
