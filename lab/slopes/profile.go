package slopes

import (
	"context"
	"errors"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/pprof/profile"

	"monsoonfork/core/ident"
	"monsoonfork/io/operator"
	"monsoonfork/lab/fleet"
)

// class is the kind of work that a sample of a CPU profile is attributed to.
type class int

const (
	unclassified class = iota // No listed package on the stack: scheduling, garbage collection and timers of the Go runtime.
	controlPlane              // Decisions, and messages with other instances, the store and operators.
	dataPlane                 // Forwarding requests and responses.
)

// packageClass is the class of the packages that belong to the control plane or the
// data plane. A sample is attributed by the innermost frame of a listed package.
var packageClass = map[string]class{
	"monsoonfork/core/budget":             controlPlane,
	"monsoonfork/core/claims":             controlPlane,
	"monsoonfork/core/config":             controlPlane,
	"monsoonfork/core/config/relay":       controlPlane,
	"monsoonfork/core/keys":               controlPlane,
	"monsoonfork/core/membership":         controlPlane,
	"monsoonfork/core/orders":             controlPlane,
	"monsoonfork/core/placement":          controlPlane,
	"monsoonfork/core/reaper":             controlPlane,
	"monsoonfork/io/instancelist":         controlPlane,
	"monsoonfork/io/operator":             controlPlane,
	"monsoonfork/io/peer":                 controlPlane,
	"monsoonfork/io/store":                controlPlane,
	"github.com/hashicorp/yamux":          controlPlane,
	"monsoonfork/core/request":            dataPlane,
	"monsoonfork/io/caller":               dataPlane,
	"monsoonfork/io/engine":               dataPlane,
	"monsoonfork/io/httpcall":             dataPlane,
	"monsoonfork/io/poller":               dataPlane,
	"monsoonfork/io/service":              dataPlane,
	"github.com/lesismal/nbio":            dataPlane,
	"github.com/lesismal/nbio/nbhttp":     dataPlane,
	"github.com/lesismal/nbio/taskpool":   dataPlane,
	"github.com/lesismal/nbio/logging":    dataPlane,
	"github.com/lesismal/nbio/mempool":    dataPlane,
	"github.com/lesismal/llib/std/crypto": dataPlane,
}

// profileFleet takes a CPU profile of every daemon for d, concurrently, and returns
// the merged profile.
func profileFleet(ctx context.Context, f *fleet.Fleet, d time.Duration) (*profile.Profile, error) {
	profiles := make([]*profile.Profile, len(f.Instances))
	errs := make([]error, len(f.Instances))
	var wg sync.WaitGroup
	for n, i := range f.Instances {
		wg.Go(func() { profiles[n], errs[n] = profileDaemon(ctx, i.Settings.OperatorAddress, d) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return profile.Merge(profiles)
}

// writeProfile writes a profile to a file that 'go tool pprof' reads.
func writeProfile(path string, p *profile.Profile) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(p.Write(f), f.Close())
}

// controlShare returns the control plane's fraction of the classified samples; 0 if
// there are none. Unclassified samples are left out, which attributes them to both
// planes in proportion.
func controlShare(counts map[class]int64) float64 {
	classified := counts[controlPlane] + counts[dataPlane]
	if classified == 0 {
		return 0
	}
	return float64(counts[controlPlane]) / float64(classified)
}

// profileDaemon takes a CPU profile of one daemon for d in whole seconds, at least 1.
func profileDaemon(ctx context.Context, address ident.Address, d time.Duration) (*profile.Profile, error) {
	seconds := max(1, int(d/time.Second))
	raw, err := operator.NewClient(address).Profile(ctx, seconds)
	if err != nil {
		return nil, err
	}
	return profile.ParseData(raw)
}

// countByClass counts the samples of a profile by class.
func countByClass(p *profile.Profile) map[class]int64 {
	counts := make(map[class]int64)
	for _, s := range p.Sample {
		counts[classifySample(s)] += s.Value[0]
	}
	return counts
}

// classifySample returns the class of the innermost frame whose package is in
// packageClass.
func classifySample(s *profile.Sample) class {
	for _, location := range s.Location {
		for _, line := range location.Line {
			if c, ok := packageClass[packagePath(line.Function.Name)]; ok {
				return c
			}
		}
	}
	return unclassified
}

// packagePath returns the import path in a function's qualified name.
func packagePath(function string) string {
	slash := strings.LastIndexByte(function, '/')
	dot := strings.IndexByte(function[slash+1:], '.')
	if dot < 0 {
		return function
	}
	return function[:slash+1+dot]
}
