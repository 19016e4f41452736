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

// class is what a sample of a profile is counted under.
type class int

const (
	neither class = iota // The runtime: scheduling, garbage collection, timers.
	control              // Decisions and what they are told by and tell others.
	data                 // Carrying requests and answers.
)

// classOf lists the packages that are control or data. The nearest caller
// found in it decides.
var classOf = map[string]class{
	"monsoonfork/core/budget":             control,
	"monsoonfork/core/claims":             control,
	"monsoonfork/core/config":             control,
	"monsoonfork/core/config/relay":       control,
	"monsoonfork/core/keys":               control,
	"monsoonfork/core/membership":         control,
	"monsoonfork/core/orders":             control,
	"monsoonfork/core/placement":          control,
	"monsoonfork/core/reaper":             control,
	"monsoonfork/io/instancelist":         control,
	"monsoonfork/io/operator":             control,
	"monsoonfork/io/peer":                 control,
	"monsoonfork/io/store":                control,
	"github.com/hashicorp/yamux":          control,
	"monsoonfork/core/request":            data,
	"monsoonfork/io/caller":               data,
	"monsoonfork/io/engine":               data,
	"monsoonfork/io/httpcall":             data,
	"monsoonfork/io/poller":               data,
	"monsoonfork/io/service":              data,
	"github.com/lesismal/nbio":            data,
	"github.com/lesismal/nbio/nbhttp":     data,
	"github.com/lesismal/nbio/taskpool":   data,
	"github.com/lesismal/nbio/logging":    data,
	"github.com/lesismal/nbio/mempool":    data,
	"github.com/lesismal/llib/std/crypto": data,
}

// profileFleet takes a profile of every daemon over the next d and merges them.
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

// writeProfile writes a profile to a file, for 'go tool pprof'.
func writeProfile(path string, p *profile.Profile) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(p.Write(f), f.Close())
}

// shareOf returns the part of control in what is control or data. Samples of
// the runtime alone are counted in proportion to the others.
func shareOf(counts map[class]int64) float64 {
	known := counts[control] + counts[data]
	if known == 0 {
		return 0
	}
	return float64(counts[control]) / float64(known)
}

// profileDaemon takes a profile of one daemon.
func profileDaemon(ctx context.Context, address ident.Address, d time.Duration) (*profile.Profile, error) {
	seconds := max(1, int(d/time.Second))
	raw, err := operator.NewClient(address).Profile(ctx, seconds)
	if err != nil {
		return nil, err
	}
	return profile.ParseData(raw)
}

// count counts the samples of a profile by class.
func count(p *profile.Profile) map[class]int64 {
	counts := make(map[class]int64)
	for _, s := range p.Sample {
		counts[classOfSample(s)] += s.Value[0]
	}
	return counts
}

// classOfSample goes from the leaf of the stack to its root.
func classOfSample(s *profile.Sample) class {
	for _, location := range s.Location {
		for _, line := range location.Line {
			if c, ok := classOf[packageOf(line.Function.Name)]; ok {
				return c
			}
		}
	}
	return neither
}

// packageOf returns the package path of a function's full name.
func packageOf(function string) string {
	slash := strings.LastIndexByte(function, '/')
	dot := strings.IndexByte(function[slash+1:], '.')
	if dot < 0 {
		return function
	}
	return function[:slash+1+dot]
}
