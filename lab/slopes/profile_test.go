package slopes

import (
	"testing"

	"github.com/google/pprof/profile"
)

// sampleWithStack returns a profile sample whose stack has these functions, innermost
// first.
func sampleWithStack(functions ...string) *profile.Sample {
	s := &profile.Sample{Value: []int64{1}}
	for _, name := range functions {
		line := profile.Line{Function: &profile.Function{Name: name}}
		s.Location = append(s.Location, &profile.Location{Line: []profile.Line{line}})
	}
	return s
}

func TestSamplesAreClassifiedByNearestListedFrame(t *testing.T) {
	p := &profile.Profile{Sample: []*profile.Sample{
		sampleWithStack("runtime.mallocgc", "monsoonfork/core/budget.(*Budget).Admit", "monsoonfork/core/request.(*Session).Complete"),
		sampleWithStack("syscall.write", "github.com/hashicorp/yamux.(*Session).sendLoop"),
		sampleWithStack("runtime.mallocgc", "monsoonfork/io/caller.(*ForwardedRequest).Write", "monsoonfork/core/request.(*Session).Forward"),
		sampleWithStack("runtime.findRunnable", "runtime.mcall"),
	}}
	counts := countByClass(p)
	if counts[controlPlane] != 2 || counts[dataPlane] != 1 || counts[unclassified] != 1 {
		t.Errorf("samples by class: got %v, want 2 control plane, 1 data plane, 1 unclassified", counts)
	}
	if share := controlShare(counts); share < 0.66 || share > 0.67 {
		t.Errorf("control plane share: got %v, want two thirds", share)
	}
	if share := controlShare(nil); share != 0 {
		t.Errorf("control plane share without samples: got %v, want 0", share)
	}
}
