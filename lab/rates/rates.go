package rates

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	"monsoonfork/core/budget/audit"
	"monsoonfork/core/ident"
	"monsoonfork/lab/fleet"
	"monsoonfork/lab/process"
)

// Timing and bounds of a run.
const (
	startTimeout      = time.Minute
	warmUpTime        = 10 * time.Second // Refusals within it are counted separately.
	excessTolerance   = 0.01             // Tokens; allows for rounding in floating-point sums.
	minCutDomainRatio = 0.9              // Least share of the domain's fraction of the rate that a partitioned domain must admit for overLimitOrg.
)

// Result is the result of Run. Findings lists the violations.
type Result struct {
	Findings       []string
	Audit          []audit.Result
	StartRefusals  map[ident.OrganisationID]audit.RequestCounts // Refusals within warmUpTime.
	LaterRefusals  map[ident.OrganisationID]audit.RequestCounts
	AdmittedRatio  map[ident.OrganisationID]float64 // Tokens admitted after warmUpTime, divided by the requested tokens or, if less, the rate limit.
	CutDomainRatio float64                          // Tokens that the partitioned domain admitted for overLimitOrg, divided by its fraction of the rate; 0 without a partition.
	Kills          int
	Pauses         int
	Dir            string

	begin int64 // Start of the load, in nanoseconds of the monotonic clock.
}

// Run starts a fleet, sends load under faults, and checks the admission logs. It
// prints the faults to out as they are injected.
func Run(ctx context.Context, cfg Config, out io.Writer) (verdict Result, err error) {
	var options []process.Option
	if cfg.Keep {
		options = append(options, process.WithKeptFiles())
	}
	runner, err := process.NewRunner(options...)
	if err != nil {
		return verdict, err
	}
	defer func() { err = errors.Join(err, runner.Close()) }()
	f, err := startFleet(ctx, runner, cfg)
	if err != nil {
		return verdict, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	r := &run{cfg: cfg, fleet: f, out: out, begin: monotonicNow()}
	if err := r.loadWithFaults(ctx); err != nil {
		return verdict, err
	}
	verdict, err = r.checkAdmissions()
	verdict.Dir = runner.Dir()
	return verdict, err
}

// startFleet starts the fleet and applies a configuration that gives the called
// routes their costs.
func startFleet(ctx context.Context, runner *process.Runner, cfg Config) (*fleet.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := fleet.Start(ctx, runner, cfg.spec())
	if err != nil {
		return nil, err
	}
	for i := range f.Text.Routes {
		if r := &f.Text.Routes[i]; r.Name == "addresses" {
			r.CostTokens = costTokens
			expensive := *r
			expensive.Name, expensive.Path, expensive.CostTokens = "large", largePath, largeCost
			f.Text.Routes = append(f.Text.Routes, expensive)
		}
	}
	if _, err := f.Apply(ctx, f.Instances[0]); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// run holds the state of one run.
type run struct {
	cfg    Config
	fleet  *fleet.Fleet
	out    io.Writer
	begin  int64
	end    int64
	caller *caller
	faults *faults

	mu sync.Mutex
}

// loadWithFaults sends load and injects faults for the length of the run.
func (r *run) loadWithFaults(ctx context.Context) error {
	r.caller = newCaller(r.fleet, r.cfg.Seed)
	r.faults = newFaults(r.cfg, r.fleet, r.logEvent)
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Length)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { r.fleet.SimulateBalancer(ctx) })
	background.Go(func() { r.caller.run(ctx) })
	err := r.faults.run(ctx)
	background.Wait()
	r.end = monotonicNow()
	return err
}

// logEvent prints a message with the time since the start of the load.
func (r *run) logEvent(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since := time.Duration(monotonicNow() - r.begin).Seconds()
	_, _ = fmt.Fprintf(r.out, "%6.1fs %s\n", since, fmt.Sprintf(format, args...))
}

// checkAdmissions checks the admission logs of all processes against the limits, and
// counts the refusals.
func (r *run) checkAdmissions() (Result, error) {
	log, err := r.readLogs(nil)
	if err != nil {
		return Result{}, err
	}
	v := Result{
		begin:         r.begin,
		Audit:         log.CheckLimits(limits()),
		StartRefusals: make(map[ident.OrganisationID]audit.RequestCounts),
		LaterRefusals: make(map[ident.OrganisationID]audit.RequestCounts),
		AdmittedRatio: make(map[ident.OrganisationID]float64),
		Kills:         r.faults.kills,
		Pauses:        r.faults.pauses,
	}
	for _, result := range v.Audit {
		if result.Excess > excessTolerance {
			v.Findings = append(v.Findings, fmt.Sprintf("%s got %.1f tokens above its limit from %d to %d ns",
				result.Organisation, result.Excess, result.WindowStartNs, result.WindowEndNs))
		}
	}
	started := r.begin + warmUpTime.Nanoseconds()
	for org, limit := range limits() {
		v.StartRefusals[org] = log.CountRequests(org, limit, r.caller.requests, r.begin, started)
		v.LaterRefusals[org] = log.CountRequests(org, limit, r.caller.requests, started, r.end)
		requested := min(1, rateFactors()[org]) * float64(limit.Rate) * float64(r.end-started) / 1e9
		v.AdmittedRatio[org] = float64(log.Used(org, started, r.end)) / requested
	}
	return v, r.checkCutDomain(&v)
}

// checkCutDomain checks that the partitioned domain kept admitting requests of
// overLimitOrg at no less than minCutDomainRatio of its fraction of the rate.
func (r *run) checkCutDomain(v *Result) error {
	cut := r.faults.cutSpan
	if cut.to == 0 {
		return nil
	}
	log, err := r.readLogs(func(i *fleet.Instance) bool { return i.Settings.Domain == r.faults.cutDomainID() })
	if err != nil {
		return err
	}
	domains := float64(len(r.fleet.Spec.Workload.Domains))
	domainShare := float64(limits()[overLimitOrg].Rate) / domains * float64(cut.to-cut.from) / 1e9
	v.CutDomainRatio = float64(log.Used(overLimitOrg, cut.from, cut.to)) / domainShare
	if v.CutDomainRatio < minCutDomainRatio {
		v.Findings = append(v.Findings, fmt.Sprintf("the cut-off domain admitted %.1f%% of its share of the rate", 100*v.CutDomainRatio))
	}
	return nil
}

// readLogs reads the admission logs of the instances for which keep returns true, or
// of all if keep is nil.
func (r *run) readLogs(keep func(*fleet.Instance) bool) (*audit.Admissions, error) {
	log := audit.NewAdmissions()
	for _, i := range r.fleet.Instances {
		if keep != nil && !keep(i) {
			continue
		}
		for _, path := range i.AdmissionLogs {
			if err := addLog(log, path); err != nil {
				return nil, err
			}
		}
	}
	return log, nil
}

// addLog adds the admission log of one process. A process that exited early may not
// have created its log.
func addLog(log *audit.Admissions, path string) (err error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return log.Add(file)
}

// Print prints the result.
func (v Result) Print(out io.Writer) {
	for _, result := range v.Audit {
		org := result.Organisation
		_, _ = fmt.Fprintf(out, "%s: %d admissions, worst window %.1f tokens above the limit; %.1f%% of what its rate allows of its requests\n",
			org, result.Admissions, result.Excess, 100*v.AdmittedRatio[org])
		printRefusals(out, "first 10 s", v.StartRefusals[org])
		printRefusals(out, "after them", v.LaterRefusals[org])
		if org != overLimitOrg {
			v.printWrongfulRefusals(out, v.LaterRefusals[org])
		}
	}
	if v.CutDomainRatio > 0 {
		_, _ = fmt.Fprintf(out, "cut-off domain: %s got %.1f%% of the domain's part\n", overLimitOrg, 100*v.CutDomainRatio)
	}
	_, _ = fmt.Fprintf(out, "%d kills, %d pauses\n", v.Kills, v.Pauses)
	for _, f := range v.Findings {
		_, _ = fmt.Fprintln(out, "FINDING", f)
	}
}

// printWrongfulRefusals prints the number of wrongful refusals by second of the run.
func (v Result) printWrongfulRefusals(out io.Writer, r audit.RequestCounts) {
	seconds := make(map[int64]int)
	for _, at := range r.WrongfulNs {
		seconds[(at-v.begin)/time.Second.Nanoseconds()]++
	}
	for _, s := range slices.Sorted(maps.Keys(seconds)) {
		_, _ = fmt.Fprintf(out, "  at %d s: %d\n", s, seconds[s])
	}
}

// printRefusals prints the refusals of one organisation in one period.
func printRefusals(out io.Writer, name string, r audit.RequestCounts) {
	_, _ = fmt.Fprintf(out, "  %s: %d requests, %d refused, %d failed, refused wrongfully %d (%.2f%%)\n",
		name, r.Requests, r.Refused, r.Failed, r.Wrongful, 100*r.WrongfulFraction())
}
