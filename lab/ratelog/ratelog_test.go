package ratelog

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// testLog has a large request that is admitted, one that is refused with too few tokens left, a
// small one that is refused with enough left, one that has not run and lines about other things.
const testLog = `   0.1 a-1 level=info ts=2026-01-01T00:00:01.5Z organisation=org prompt=4000 output=5000 msg=answered took_ms=500
   0.2 a-2 level=info ts=2026-01-01T00:00:01.1Z organisation=org prompt=4000 output=5000 msg=refused kind=RateExceeded took_ms=0 err="RateExceeded: organisation org is above its rate of 1000 a second with a burst of 10000"
level=info ts=2026-01-01T00:00:01.2Z organisation=org prompt=0 output=0 msg=refused kind=RateExceeded took_ms=0 err="RateExceeded: organisation org is above its rate of 1000 a second with a burst of 10000"
level=info ts=2026-01-01T00:00:01.3Z organisation=org prompt=4000 output=5000 msg=failed ran=NotRun took_ms=10
level=info ts=2026-01-01T00:00:01.4Z organisation=other prompt=0 output=0 msg=answered took_ms=10
level=info ts=2026-01-01T00:00:01.4Z msg="engine changed" engine=e
built in 3 s
`

// TestJudgeComparesWithOneBucket guards against refusals that are judged by another order, cost or
// limit than the log tells.
func TestJudgeComparesWithOneBucket(t *testing.T) {
	tries, err := Read(strings.NewReader(testLog), 200)
	if err != nil || len(tries) != 4 {
		t.Fatalf("%d tries, %v; want 4", len(tries), err)
	}
	verdicts := Judge(tries, 8*time.Second)
	if len(verdicts) != 1 {
		t.Fatalf("%d organisations, want the one with refusals", len(verdicts))
	}
	v := verdicts[0]
	if v.Tries != 3 || v.Refused != 2 || v.RefusedExactly != 1 || v.Wrongful != 1 || v.WrongfulTokens != 200 || v.Excess != 0.5 {
		t.Errorf("verdict %+v", v)
	}
	path := filepath.Join(t.TempDir(), "plot.svg")
	if err := WritePlot(path, v); err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Size() == 0 {
		t.Errorf("no plot: %v", err)
	}
}

// TestBadLineIsNamed guards against a log whose lines are passed over without a word, so that the
// verdict is about a part of it.
func TestBadLineIsNamed(t *testing.T) {
	_, err := Read(strings.NewReader("\nlevel=info ts=x organisation=org prompt=1 output=1 msg=answered took_ms=1\n"), 200)
	if err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("error %v, want one that names line 2", err)
	}
}
