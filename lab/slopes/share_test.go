package slopes

import (
	"testing"

	"github.com/google/pprof/profile"
)

// stack returns a sample whose stack has these functions, leaf first.
func stack(functions ...string) *profile.Sample {
	s := &profile.Sample{Value: []int64{1}}
	for _, name := range functions {
		line := profile.Line{Function: &profile.Function{Name: name}}
		s.Location = append(s.Location, &profile.Location{Line: []profile.Line{line}})
	}
	return s
}

func TestSamplesAreCountedUnderTheNearestCaller(t *testing.T) {
	p := &profile.Profile{Sample: []*profile.Sample{
		stack("runtime.mallocgc", "monsoonfork/core/budget.(*Budget).Admit", "monsoonfork/core/request.(*Path).Serve"),
		stack("syscall.write", "github.com/hashicorp/yamux.(*Session).sendLoop"),
		stack("runtime.mallocgc", "monsoonfork/io/caller.(*answer).Write", "monsoonfork/core/request.(*Path).Serve"),
		stack("runtime.findRunnable", "runtime.mcall"),
	}}
	counts := count(p)
	if counts[control] != 2 || counts[data] != 1 || counts[neither] != 1 {
		t.Errorf("counts %v", counts)
	}
	if share := shareOf(counts); share < 0.66 || share > 0.67 {
		t.Errorf("share of control %v, want two thirds", share)
	}
	if share := shareOf(nil); share != 0 {
		t.Errorf("share of nothing is %v", share)
	}
}
