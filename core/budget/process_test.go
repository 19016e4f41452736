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

// fleet is a set of daemons in processes of their own.
type fleet struct {
	t         *testing.T
	dir       string
	store     *store.Store
	addresses []ident.Address // Of the places of daemons; a replacement takes the place.
	children  []*exec.Cmd
	started   int
	loadFrom  int64 // When load begins.
	logs      []string
	reports   []string
}

// startFleet starts all daemons. Load begins once fill has passed.
func startFleet(t *testing.T, fill time.Duration) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), store: store.New()}
	f.loadFrom = monotonicNow() + int64(fill)
	if err := f.store.Start(); err != nil {
		t.Fatal(err)
	}
	for range processCount {
		f.addresses = append(f.addresses, freeAddress(t))
	}
	f.children = make([]*exec.Cmd, processCount)
	for i := range processCount {
		f.start(i)
	}
	t.Cleanup(f.stop)
	return f
}

// domainOf returns the domain of a place.
func (f *fleet) domainOf(i int) ident.DomainID {
	domains := processText().Domains
	return domains[i%len(domains)]
}

// start starts a daemon at a place.
func (f *fleet) start(i int) {
	f.t.Helper()
	f.started++
	name := fmt.Sprintf("n%d-%d", i, f.started)
	s := settings.Default()
	s.Name = name
	s.Domain = f.domainOf(i)
	s.CallerAddress = "127.0.0.1:1"
	s.OperatorAddress = "127.0.0.1:1"
	s.PeerAddress = f.addresses[i]
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
	cmd.Env = append(os.Environ(), childSettingsEnv+"="+path, childReportEnv+"="+report,
		fmt.Sprintf("%s=%d", childLoadFromEnv, f.loadFrom))
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.children[i] = cmd
	f.logs = append(f.logs, s.AdmissionLog)
	f.reports = append(f.reports, report)
}

// signal sends a signal to the daemon at a place.
func (f *fleet) signal(i int, sig syscall.Signal) { _ = f.children[i].Process.Signal(sig) }

// replace ends a daemon by a signal and starts another at its place.
func (f *fleet) replace(i int, sig syscall.Signal) {
	f.signal(i, sig)
	_ = f.children[i].Wait()
	f.start(i)
}

// stop ends all daemons.
func (f *fleet) stop() {
	for i, cmd := range f.children {
		if cmd != nil {
			f.signal(i, syscall.SIGCONT)
			f.signal(i, syscall.SIGKILL)
			_ = cmd.Wait()
		}
	}
	f.children = make([]*exec.Cmd, processCount)
	_ = f.store.Close()
}

// cutOff cuts the links of a domain to all others, or heals them.
func (f *fleet) cutOff(domain ident.DomainID, on bool) {
	sig := syscall.SIGUSR2
	if on {
		sig = syscall.SIGUSR1
	}
	for i := range f.children {
		if f.domainOf(i) == domain {
			f.signal(i, sig)
		}
	}
}

// longRunEnv holds the seed of the long run; without it the long run is skipped.
const longRunEnv = "MONSOONFORK_BUDGET_LONG_RUN"

// runTimes are the lengths of the stages of a run. Each pause is longer than a
// lease with its margin, and so is the store's silence.
type runTimes struct {
	fill      time.Duration // Before load begins.
	kills     int
	killEvery time.Duration
	calm      time.Duration // After the kills and the pause.
	cutBefore time.Duration // With the domain cut, before the pause.
	cutPause  time.Duration
	healed    time.Duration // After the cut.
}

// shortTimes are those of the usual run, longTimes those of the long one.
var (
	shortTimes = runTimes{
		fill: 5 * time.Second, kills: 4, killEvery: 2 * time.Second, calm: 2 * time.Second,
		cutBefore: time.Second, cutPause: 8 * time.Second, healed: 2 * time.Second,
	}
	longTimes = runTimes{
		fill: 15 * time.Second, kills: 4, killEvery: 3 * time.Second, calm: 12 * time.Second,
		cutBefore: 15 * time.Second, cutPause: 13 * time.Second, healed: 10 * time.Second,
	}
)

// phase is a named stretch of a run.
type phase struct {
	name     string
	from, to int64
}

func TestProcessesUnderKillsAndAPause(t *testing.T) {
	if testing.Short() {
		t.Skip("takes eight processes")
	}
	t.Parallel()
	f := startFleet(t, shortTimes.fill)
	f.waitForLoad()
	phases := f.underKills(shortTimes, rand.New(rand.NewPCG(1, 11)))
	f.stop()
	f.judge(phases)
}

func TestProcessesWithTheStoreSilentAndADomainCutOff(t *testing.T) {
	if testing.Short() {
		t.Skip("takes eight processes")
	}
	t.Parallel()
	f := startFleet(t, shortTimes.fill)
	f.waitForLoad()
	phases := f.underSilence(shortTimes)
	f.stop()
	f.checkCutDomain(f.judge(phases), phases[0])
}

func TestProcessesLongRun(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv(longRunEnv), 10, 64)
	if err != nil {
		t.Skipf("takes 100 s; set %s to a seed", longRunEnv)
	}
	f := startFleet(t, longTimes.fill)
	f.waitForLoad()
	phases := f.underKills(longTimes, rand.New(rand.NewPCG(seed, 11)))
	phases = append(phases, f.underSilence(longTimes)...)
	f.stop()
	f.checkCutDomain(f.judge(phases), phases[1])
}

// waitForLoad waits until load has begun.
func (f *fleet) waitForLoad() {
	time.Sleep(time.Duration(f.loadFrom-monotonicNow()) + 500*time.Millisecond)
}

// underKills kills and replaces daemons while one is paused past its leases,
// and stops another one in a planned way.
func (f *fleet) underKills(times runTimes, r *rand.Rand) []phase {
	begin := monotonicNow()
	f.signal(1, syscall.SIGSTOP)
	for range times.kills {
		time.Sleep(times.killEvery)
		f.replace([]int{0, 2, 3, 4, 6, 7}[r.IntN(6)], syscall.SIGKILL)
	}
	f.signal(1, syscall.SIGCONT)
	f.replace(5, syscall.SIGTERM)
	time.Sleep(times.calm)
	return []phase{{"kills and a pause", begin, monotonicNow()}}
}

// underSilence makes the store silent and cuts a domain off. Meanwhile it
// pauses a daemon past its leases.
func (f *fleet) underSilence(times runTimes) []phase {
	if err := f.store.Inject(control.Fault{Kind: control.Hang}); err != nil {
		f.t.Fatal(err)
	}
	f.cutOff("d0", true)
	time.Sleep(2 * time.Second)
	cutBegin := monotonicNow()
	time.Sleep(times.cutBefore)
	f.signal(1, syscall.SIGSTOP)
	time.Sleep(times.cutPause)
	cutEnd := monotonicNow()
	f.signal(1, syscall.SIGCONT)
	f.cutOff("d0", false)
	f.store.Clear(control.Hang)
	time.Sleep(times.healed)
	return []phase{
		{"store silent, domain cut off", cutBegin, cutEnd},
		{"healed", cutEnd, monotonicNow()},
	}
}

// judge checks the logs of all daemons, logs what became of the requests of
// each phase, and returns the admissions.
func (f *fleet) judge(phases []phase) []audit.Line {
	lines := f.audit()
	requests := f.requests()
	for _, p := range phases {
		f.reportPhase(p.name, requests, lines, p.from, p.to)
	}
	return lines
}

// audit checks the logs of all daemons and returns their lines.
func (f *fleet) audit() []audit.Line {
	limits := make(map[ident.OrganisationID]audit.Limit)
	for _, o := range processText().Organisations {
		limits[o.Name] = audit.Limit{Rate: o.Rate, Burst: o.Burst}
	}
	l := audit.NewLog()
	for _, path := range f.logs {
		file, err := os.Open(path)
		if err != nil {
			continue // Killed before it opened the log.
		}
		if err := l.Add(file); err != nil {
			f.t.Errorf("%s: %v", path, err)
		}
		_ = file.Close()
	}
	for _, res := range l.Check(limits) {
		f.t.Logf("audit: %s: %d admissions, worst window %.1f tokens above the limit", res.Organisation, res.Admissions, res.Excess)
		if res.Excess > tolerance {
			f.t.Errorf("%s is %.1f tokens above its limit", res.Organisation, res.Excess)
		}
	}
	return readLines[audit.Line](f.t, f.logs)
}

// requests returns the requests of all daemons, by time.
func (f *fleet) requests() []requestLine {
	list := readLines[requestLine](f.t, f.reports)
	sort.Slice(list, func(i, j int) bool { return list[i].MonotonicNs < list[j].MonotonicNs })
	return list
}

// readLines decodes the lines of files; torn last lines are left out.
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

// reportPhase logs the outcomes of requests in a phase. A refusal is wrongful
// if one exact bucket, charged with all admissions before, had the tokens.
func (f *fleet) reportPhase(name string, requests []requestLine, admissions []audit.Line, from, to int64) {
	sort.Slice(admissions, func(i, j int) bool { return admissions[i].MonotonicNs < admissions[j].MonotonicNs })
	for _, o := range processText().Organisations {
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
			if q.Organisation != o.Name || q.MonotonicNs < from || q.MonotonicNs >= to {
				continue
			}
			counts[q.Outcome]++
			if fill(q.MonotonicNs); q.Outcome == outcomeRefused && level >= float64(q.Cost) {
				counts["wrongful"]++
			}
		}
		sum := counts[outcomeAdmitted] + counts[outcomeRefused] + counts[outcomeFailed]
		f.t.Logf("%s: %s: %d requests, %d admitted, %d refused, %d failed; wrongful %d (%.2f%%); %.1f%% of the rate admitted",
			name, o.Name, sum, counts[outcomeAdmitted], counts[outcomeRefused], counts[outcomeFailed],
			counts["wrongful"], 100*float64(counts["wrongful"])/float64(max(1, sum)),
			100*float64(counts[outcomeAdmitted]*processCost)/(float64(o.Rate)*float64(to-from)/1e9))
	}
}

// checkCutDomain checks that the cut-off domain went on admitting its part of
// the loud organisation's rate.
func (f *fleet) checkCutDomain(lines []audit.Line, cut phase) {
	from, to := cut.from, cut.to
	sum := ident.Tokens(0)
	for _, l := range lines {
		place := int(l.Instance[1] - '0')
		if l.Organisation == "loud" && f.domainOf(place) == "d0" && from <= l.MonotonicNs && l.MonotonicNs < to {
			sum += l.Charged
		}
	}
	part := 4000.0 / 4 * float64(to-from) / 1e9
	f.t.Logf("cut-off domain: loud got %d tokens, %.1f%% of the domain's part", sum, 100*float64(sum)/part)
	if float64(sum) < 0.9*part {
		f.t.Errorf("the cut-off domain admitted %d tokens of a part of %.0f", sum, part)
	}
}
