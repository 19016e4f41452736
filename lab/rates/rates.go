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

// Times and bounds of a run.
const (
	startTimeout  = time.Minute
	startSpan     = 10 * time.Second // Refusals of the start are counted apart.
	tolerance     = 0.01             // Tokens, for sums of floating-point amounts.
	lowestCutPart = 0.9              // Of its part, that a cut-off domain must admit to the loud organisation.
)

// Verdict is the outcome of a run.
type Verdict struct {
	Findings []string
	Audit    []audit.Result
	Start    map[ident.OrganisationID]audit.RequestCounts // While load was new.
	Rest     map[ident.OrganisationID]audit.RequestCounts
	Admitted map[ident.OrganisationID]float64 // Share of the rate admitted after the start, at most of what was asked for.
	CutPart  float64                          // What the cut-off domain admitted to the loud one, of its part.
	Kills    int
	Pauses   int
	Dir      string

	begin int64 // When load began, in monotonic nanoseconds.
}

// Run makes one run and prints its progress to out.
func Run(ctx context.Context, cfg Config, out io.Writer) (verdict Verdict, err error) {
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
	if err := r.underFaults(ctx); err != nil {
		return verdict, err
	}
	verdict, err = r.judge()
	verdict.Dir = runner.Dir()
	return verdict, err
}

// startFleet starts the fleet, with a cost on the calls that are sent.
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

// run is one run.
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

// underFaults sends load while faults come and go.
func (r *run) underFaults(ctx context.Context) error {
	r.caller = newCaller(r.fleet, r.cfg.Seed)
	r.faults = newFaults(r.cfg, r.fleet, r.note)
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Length)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { r.fleet.Balance(ctx) })
	background.Go(func() { r.caller.run(ctx) })
	err := r.faults.run(ctx)
	background.Wait()
	r.end = monotonicNow()
	return err
}

// note prints what is done to the fleet.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since := time.Duration(monotonicNow() - r.begin).Seconds()
	_, _ = fmt.Fprintf(r.out, "%6.1fs %s\n", since, fmt.Sprintf(format, args...))
}

// judge checks the admission logs of all processes.
func (r *run) judge() (Verdict, error) {
	log, err := r.readLogs(nil)
	if err != nil {
		return Verdict{}, err
	}
	v := Verdict{
		begin:    r.begin,
		Audit:    log.CheckLimits(limits()),
		Start:    make(map[ident.OrganisationID]audit.RequestCounts),
		Rest:     make(map[ident.OrganisationID]audit.RequestCounts),
		Admitted: make(map[ident.OrganisationID]float64),
		Kills:    r.faults.kills,
		Pauses:   r.faults.pauses,
	}
	for _, result := range v.Audit {
		if result.Excess > tolerance {
			v.Findings = append(v.Findings, fmt.Sprintf("%s got %.1f tokens above its limit from %d to %d ns",
				result.Organisation, result.Excess, result.WindowStartNs, result.WindowEndNs))
		}
	}
	started := r.begin + startSpan.Nanoseconds()
	for org, limit := range limits() {
		v.Start[org] = log.CountRequests(org, limit, r.caller.requests, r.begin, started)
		v.Rest[org] = log.CountRequests(org, limit, r.caller.requests, started, r.end)
		asked := min(1, factors()[org]) * float64(limit.Rate) * float64(r.end-started) / 1e9
		v.Admitted[org] = float64(log.Used(org, started, r.end)) / asked
	}
	return v, r.judgeCut(&v)
}

// judgeCut checks that the cut-off domain went on admitting its part.
func (r *run) judgeCut(v *Verdict) error {
	cut := r.faults.cut
	if cut.to == 0 {
		return nil
	}
	log, err := r.readLogs(func(i *fleet.Instance) bool { return i.Settings.Domain == r.faults.cutOff() })
	if err != nil {
		return err
	}
	domains := float64(len(r.fleet.Spec.Workload.Domains))
	part := float64(limits()[loud].Rate) / domains * float64(cut.to-cut.from) / 1e9
	v.CutPart = float64(log.Used(loud, cut.from, cut.to)) / part
	if v.CutPart < lowestCutPart {
		v.Findings = append(v.Findings, fmt.Sprintf("the cut-off domain admitted %.1f%% of its part", 100*v.CutPart))
	}
	return nil
}

// readLogs reads the admission logs of the instances that keep chooses, or of all.
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

// addLog adds the admission log of one process. One that ended early may have
// made none.
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

// Print writes the verdict.
func (v Verdict) Print(out io.Writer) {
	for _, result := range v.Audit {
		org := result.Organisation
		_, _ = fmt.Fprintf(out, "%s: %d admissions, worst window %.1f tokens above the limit; %.1f%% of what its rate allows of its requests\n",
			org, result.Admissions, result.Excess, 100*v.Admitted[org])
		printRefusals(out, "first 10 s", v.Start[org])
		printRefusals(out, "after them", v.Rest[org])
		if org != loud {
			v.printTimes(out, v.Rest[org])
		}
	}
	if v.CutPart > 0 {
		_, _ = fmt.Fprintf(out, "cut-off domain: %s got %.1f%% of the domain's part\n", loud, 100*v.CutPart)
	}
	_, _ = fmt.Fprintf(out, "%d kills, %d pauses\n", v.Kills, v.Pauses)
	for _, f := range v.Findings {
		_, _ = fmt.Fprintln(out, "FINDING", f)
	}
}

// printTimes writes in which seconds requests were refused wrongfully.
func (v Verdict) printTimes(out io.Writer, r audit.RequestCounts) {
	seconds := make(map[int64]int)
	for _, at := range r.WrongfulNs {
		seconds[(at-v.begin)/time.Second.Nanoseconds()]++
	}
	for _, s := range slices.Sorted(maps.Keys(seconds)) {
		_, _ = fmt.Fprintf(out, "  at %d s: %d\n", s, seconds[s])
	}
}

// printRefusals writes one line.
func printRefusals(out io.Writer, name string, r audit.RequestCounts) {
	_, _ = fmt.Fprintf(out, "  %s: %d requests, %d refused, %d failed, refused wrongfully %d (%.2f%%)\n",
		name, r.Requests, r.Refused, r.Failed, r.Wrongful, 100*r.WrongfulFraction())
}
