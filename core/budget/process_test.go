package budget

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"syscall"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"monsoonfork/core/budget/audit"
	"monsoonfork/core/ident"
	"monsoonfork/core/settings"
	"monsoonfork/io/standin/control"
	"monsoonfork/io/standin/store"
)

// processCount is the number of daemons, two in each domain.
const processCount = 8

// fleet is a set of daemons, each in a process of its own. A daemon has a
// position from 0 to processCount-1, which determines its address and domain;
// a replacement starts at the same position.
type fleet struct {
	t         *testing.T
	dir       string
	store     *store.Store
	addresses []ident.Address // By position.
	daemons   []*exec.Cmd
	started   int      // Daemons started so far, for unique names.
	loadFrom  int64    // When the load begins, in monotonic nanoseconds.
	logs      []string // Paths of the admission logs of all daemons, replaced ones included.
	reports   []string // Paths of their request reports.
}

// startFleet starts all daemons. They send load after the time beforeLoad.
func startFleet(t *testing.T, beforeLoad time.Duration) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), store: store.New()}
	f.loadFrom = monotonicNow() + int64(beforeLoad)
	if err := f.store.Start(); err != nil {
		t.Fatal(err)
	}
	for range processCount {
		f.addresses = append(f.addresses, freeAddress(t))
	}
	f.daemons = make([]*exec.Cmd, processCount)
	for i := range processCount {
		f.start(i)
	}
	t.Cleanup(f.stop)
	return f
}

// domainOf returns the domain of a position.
func (f *fleet) domainOf(position int) ident.DomainID {
	domains := daemonConfig().Domains
	return domains[position%len(domains)]
}

// start starts a daemon at a position.
func (f *fleet) start(position int) {
	f.t.Helper()
	f.started++
	name := fmt.Sprintf("n%d-%d", position, f.started)
	s := settings.Default()
	s.Name = name
	s.Domain = f.domainOf(position)
	s.CallerAddress = "127.0.0.1:1"
	s.OperatorAddress = "127.0.0.1:1"
	s.PeerAddress = f.addresses[position]
	s.StoreAddresses = []ident.Address{ident.Address(f.store.Address())}
	s.FirstPeers = f.addresses
	s.AdmissionLog = filepath.Join(f.dir, name+".log")
	s.LogLevel = "error"
	raw, err := yaml.Marshal(s)
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		f.t.Fatal(err)
	}
	report := filepath.Join(f.dir, name+".report")
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), daemonSettingsEnv+"="+path, daemonReportEnv+"="+report,
		fmt.Sprintf("%s=%d", daemonLoadFromEnv, f.loadFrom))
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.daemons[position] = cmd
	f.logs = append(f.logs, s.AdmissionLog)
	f.reports = append(f.reports, report)
}

// signal sends a signal to the daemon at a position.
func (f *fleet) signal(position int, sig syscall.Signal) { _ = f.daemons[position].Process.Signal(sig) }

// replace ends a daemon by a signal and starts another at its position.
func (f *fleet) replace(position int, sig syscall.Signal) {
	f.signal(position, sig)
	_ = f.daemons[position].Wait()
	f.start(position)
}

// stop kills all daemons and stops the store.
func (f *fleet) stop() {
	for i, cmd := range f.daemons {
		if cmd != nil {
			f.signal(i, syscall.SIGCONT)
			f.signal(i, syscall.SIGKILL)
			_ = cmd.Wait()
		}
	}
	f.daemons = make([]*exec.Cmd, processCount)
	_ = f.store.Close()
}

// partitionDomain cuts the links of a domain to all others, or restores them.
func (f *fleet) partitionDomain(domain ident.DomainID, on bool) {
	sig := syscall.SIGUSR2
	if on {
		sig = syscall.SIGUSR1
	}
	for i := range f.daemons {
		if f.domainOf(i) == domain {
			f.signal(i, sig)
		}
	}
}

// longRunEnv names the environment variable with the seed of the long run;
// without it, the long run is skipped.
const longRunEnv = "MONSOONFORK_BUDGET_LONG_RUN"

// stageDurations are the durations of the stages of a run. Each pause is
// longer than a lease with its margin, and so is the time in which the store
// does not answer.
type stageDurations struct {
	beforeLoad           time.Duration // Before load begins.
	killCount            int
	killInterval         time.Duration
	recovery             time.Duration // After the kills and the pause.
	partitionBeforePause time.Duration // From the partition to the pause.
	partitionPause       time.Duration // Length of the pause during the partition.
	afterPartition       time.Duration
}

// shortDurations apply to the usual run, longDurations to the long run.
var (
	shortDurations = stageDurations{
		beforeLoad: 5 * time.Second, killCount: 4, killInterval: 2 * time.Second, recovery: 2 * time.Second,
		partitionBeforePause: time.Second, partitionPause: 8 * time.Second, afterPartition: 2 * time.Second,
	}
	longDurations = stageDurations{
		beforeLoad: 15 * time.Second, killCount: 4, killInterval: 3 * time.Second, recovery: 12 * time.Second,
		partitionBeforePause: 15 * time.Second, partitionPause: 13 * time.Second, afterPartition: 10 * time.Second,
	}
)

// phase is a named part of a run, in monotonic nanoseconds.
type phase struct {
	name           string
	startNs, endNs int64
}

// TestProcessesUnderKillsAndAPause checks that no organisation exceeds its limit over
// eight processes while some are
// killed and replaced and one is paused for longer than its leases.
func TestProcessesUnderKillsAndAPause(t *testing.T) {
	if testing.Short() {
		t.Skip("starts eight processes")
	}
	t.Parallel()
	f := startFleet(t, shortDurations.beforeLoad)
	f.waitForLoad()
	phases := f.runKillPhase(shortDurations, rand.New(rand.NewPCG(1, 11)))
	f.stop()
	f.checkRun(phases)
}

// TestProcessesWithStoreHangAndDomainPartition checks that no organisation exceeds its
// limit over eight processes while the store does not answer and one domain is
// partitioned, and that this domain admits its share of the rate.
func TestProcessesWithStoreHangAndDomainPartition(t *testing.T) {
	if testing.Short() {
		t.Skip("starts eight processes")
	}
	t.Parallel()
	f := startFleet(t, shortDurations.beforeLoad)
	f.waitForLoad()
	phases := f.runStoreHangPhase(shortDurations)
	f.stop()
	f.checkPartitionedDomain(f.checkRun(phases), phases[0])
}

func TestProcessesLongRun(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv(longRunEnv), 10, 64)
	if err != nil {
		t.Skipf("takes 100 s; set %s to a seed", longRunEnv)
	}
	f := startFleet(t, longDurations.beforeLoad)
	f.waitForLoad()
	phases := f.runKillPhase(longDurations, rand.New(rand.NewPCG(seed, 11)))
	phases = append(phases, f.runStoreHangPhase(longDurations)...)
	f.stop()
	f.checkPartitionedDomain(f.checkRun(phases), phases[1])
}

// waitForLoad waits until the load has begun.
func (f *fleet) waitForLoad() {
	time.Sleep(time.Duration(f.loadFrom-monotonicNow()) + 500*time.Millisecond)
}

// runKillPhase kills and replaces daemons while another one is paused for
// longer than its leases, then replaces one by a planned stop.
func (f *fleet) runKillPhase(durations stageDurations, r *rand.Rand) []phase {
	begin := monotonicNow()
	f.signal(1, syscall.SIGSTOP)
	for range durations.killCount {
		time.Sleep(durations.killInterval)
		f.replace([]int{0, 2, 3, 4, 6, 7}[r.IntN(6)], syscall.SIGKILL)
	}
	f.signal(1, syscall.SIGCONT)
	f.replace(5, syscall.SIGTERM)
	time.Sleep(durations.recovery)
	return []phase{{"kills and a pause of a daemon", begin, monotonicNow()}}
}

// runStoreHangPhase makes the store hang and partitions a domain. Meanwhile
// it pauses a daemon for longer than its leases.
func (f *fleet) runStoreHangPhase(durations stageDurations) []phase {
	if err := f.store.Inject(control.Fault{Kind: control.Hang}); err != nil {
		f.t.Fatal(err)
	}
	f.partitionDomain("d0", true)
	time.Sleep(2 * time.Second)
	partitionStart := monotonicNow()
	time.Sleep(durations.partitionBeforePause)
	f.signal(1, syscall.SIGSTOP)
	time.Sleep(durations.partitionPause)
	partitionEnd := monotonicNow()
	f.signal(1, syscall.SIGCONT)
	f.partitionDomain("d0", false)
	f.store.Clear(control.Hang)
	time.Sleep(durations.afterPartition)
	return []phase{
		{"store not answering, domain partitioned", partitionStart, partitionEnd},
		{"after the partition", partitionEnd, monotonicNow()},
	}
}

// checkRun audits the logs of all daemons, logs the results of the requests
// of each phase, and returns the lines of the admission logs.
func (f *fleet) checkRun(phases []phase) []audit.Record {
	lines := f.checkLogs()
	requests := f.requests()
	for _, p := range phases {
		f.logPhase(p.name, requests, lines, p.startNs, p.endNs)
	}
	return lines
}

// checkLogs audits the logs of all daemons and returns their lines.
func (f *fleet) checkLogs() []audit.Record {
	limits := make(map[ident.OrganisationID]audit.Limit)
	for _, o := range daemonConfig().Organisations {
		limits[o.Name] = audit.Limit{Rate: o.Rate, Burst: o.Burst}
	}
	l := audit.NewAdmissions()
	for _, path := range f.logs {
		file, err := os.Open(path)
		if err != nil {
			continue // The daemon was killed before it opened the log.
		}
		if err := l.Add(file); err != nil {
			f.t.Errorf("%s: %v", path, err)
		}
		_ = file.Close()
	}
	for _, res := range l.CheckLimits(limits) {
		f.t.Logf("audit: %s: %d admissions, worst window %.1f tokens above the limit", res.Organisation, res.Admissions, res.Excess)
		if res.Excess > tolerance {
			f.t.Errorf("%s exceeded its limit by %.1f tokens", res.Organisation, res.Excess)
		}
	}
	return readLines[audit.Record](f.t, f.logs)
}

// requests returns the requests of all daemons, sorted by time.
func (f *fleet) requests() []reportedRequest {
	list := readLines[reportedRequest](f.t, f.reports)
	sort.Slice(list, func(i, j int) bool { return list[i].MonotonicNs < list[j].MonotonicNs })
	return list
}

// readLines decodes the JSON lines of files and ignores incomplete ones.
func readLines[T any](t *testing.T, paths []string) []T {
	var list []T
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			continue
		}
		scanner := bufio.NewScanner(file)
		for scanner.Scan() {
			var line T
			if json.Unmarshal(scanner.Bytes(), &line) == nil {
				list = append(list, line)
			}
		}
		if err := scanner.Err(); err != nil {
			t.Error(err)
		}
		_ = file.Close()
	}
	return list
}

// logPhase logs the results of the requests in a phase. A refusal is wrongful
// if a single token bucket, charged with all earlier admissions, had enough
// tokens.
func (f *fleet) logPhase(name string, requests []reportedRequest, admissions []audit.Record, startNs, endNs int64) {
	sort.Slice(admissions, func(i, j int) bool { return admissions[i].MonotonicNs < admissions[j].MonotonicNs })
	for _, o := range daemonConfig().Organisations {
		level, last, next := float64(o.Burst), int64(0), 0
		fill := func(now int64) {
			level = min(float64(o.Burst), level+float64(o.Rate)*max(0, float64(now-last))/1e9)
			last = now
		}
		counts := make(map[string]int)
		for _, q := range requests {
			for ; next < len(admissions) && admissions[next].MonotonicNs <= q.MonotonicNs; next++ {
				if a := admissions[next]; a.Organisation == o.Name && !a.Settled {
					fill(a.MonotonicNs)
					level -= float64(a.Charged)
				}
			}
			if q.Organisation != o.Name || q.MonotonicNs < startNs || q.MonotonicNs >= endNs {
				continue
			}
			counts[q.Outcome]++
			if fill(q.MonotonicNs); q.Outcome == outcomeRefused && level >= float64(q.Cost) {
				counts["wrongful"]++
			}
		}
		total := counts[outcomeAdmitted] + counts[outcomeRefused] + counts[outcomeFailed]
		f.t.Logf("%s: %s: %d requests, %d admitted, %d refused, %d failed; wrongful %d (%.2f%%); %.1f%% of the rate admitted",
			name, o.Name, total, counts[outcomeAdmitted], counts[outcomeRefused], counts[outcomeFailed],
			counts["wrongful"], 100*float64(counts["wrongful"])/float64(max(1, total)),
			100*float64(counts[outcomeAdmitted]*requestCost)/(float64(o.Rate)*float64(endNs-startNs)/1e9))
	}
}

// checkPartitionedDomain checks that the partitioned domain admitted its
// share of the rate of the organisation "loud".
func (f *fleet) checkPartitionedDomain(lines []audit.Record, partition phase) {
	startNs, endNs := partition.startNs, partition.endNs
	admitted := ident.Tokens(0)
	for _, l := range lines {
		position := int(l.Instance[1] - '0')
		if l.Organisation == "loud" && f.domainOf(position) == "d0" && startNs <= l.MonotonicNs && l.MonotonicNs < endNs {
			admitted += l.Charged
		}
	}
	share := 4000.0 / 4 * float64(endNs-startNs) / 1e9
	f.t.Logf("partitioned domain: organisation loud got %d tokens, %.1f%% of the domain's share", admitted, 100*float64(admitted)/share)
	if float64(admitted) < 0.9*share {
		f.t.Errorf("the partitioned domain admitted %d tokens of a share of %.0f", admitted, share)
	}
}
