package overhead

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"monsoonfork/lab/load"
	"monsoonfork/lab/workload"
)

// throughput prints how many calls per second the instance completes in a closed
// loop: each caller sends its next call as soon as the last one has ended.
func (m *measurement) throughput(ctx context.Context, out io.Writer) error {
	name := m.fleet.Spec.Workload.Organisations[0].Name
	kinds := []struct {
		name    string
		callers int
		next    func(n int64) workload.Request
	}{
		{"status calls", m.cfg.Concurrency, func(int64) workload.Request { return workload.Request{Kind: workload.Status} }},
		{"look-ups with a key", m.cfg.Concurrency, func(n int64) workload.Request {
			return workload.Request{Kind: workload.Lookup, Organisation: name, Reference: fmt.Sprintf("most-%d", n)}
		}},
		{"bookings", m.cfg.Concurrency, func(n int64) workload.Request {
			return workload.Request{Kind: workload.Create, Organisation: name, Reference: fmt.Sprintf("most-%d", n)}
		}},
		// The engines limit the rate here, so only the CPU time per call is meaningful.
		{fmt.Sprintf("streamed completions of %d tokens", longOutputTokens), completionCallers, func(n int64) workload.Request {
			return workload.Request{
				Kind:         workload.Completion,
				Organisation: name,
				Prompt:       newPrompt("most", int(n)),
				MaxTokens:    longOutputTokens,
				Stream:       true,
			}
		}},
	}
	for _, s := range kinds {
		if err := m.saturate(ctx, out, s.name, s.callers, s.next); err != nil {
			return err
		}
	}
	return nil
}

// saturate sends calls of one kind from concurrent callers for cfg.Length, and
// prints the rate and the resource usage of the instance.
func (m *measurement) saturate(ctx context.Context, out io.Writer, name string, concurrency int, next func(n int64) workload.Request) error {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Length)
	defer cancel()
	instance := m.fleet.Instances[0].Process
	before, err := instance.Usage()
	if err != nil {
		return err
	}
	var number, completed, failed atomic.Int64
	var detail atomic.Value // Outcome and detail of the last failed call.
	start := time.Now()
	var callers sync.WaitGroup
	for range concurrency {
		callers.Go(func() {
			for ctx.Err() == nil {
				result := m.sender.Send(ctx, next(number.Add(1)))
				if result.Outcome() == load.Complete {
					completed.Add(1)
				} else if ctx.Err() == nil {
					failed.Add(1)
					detail.Store(fmt.Sprintf(" (%s: %s)", result.Outcome(), result.Last().Detail))
				}
			}
		})
	}
	callers.Wait()
	elapsed := time.Since(start)
	after, err := instance.Usage()
	if err != nil {
		return err
	}
	cpuTime := after.CPUTime - before.CPUTime
	perSecond := float64(completed.Load()) / elapsed.Seconds()
	coresUsed := cpuTime.Seconds() / elapsed.Seconds()
	_, err = fmt.Fprintf(out, "%s, %d callers: %.0f a second, %d not whole%s; processor %.2f of %d cores, %.0f us a call, %.0f a second on two full cores; resident %.1f MB\n",
		name, concurrency, perSecond, failed.Load(), loadString(&detail), coresUsed, coresAllowed,
		float64(cpuTime.Microseconds())/float64(max(completed.Load(), 1)),
		perSecond*coresAllowed/max(coresUsed, 0.01), float64(after.ResidentBytes)/(1<<20))
	return err
}

// loadString returns the string stored in v, or "".
func loadString(v *atomic.Value) string {
	text, _ := v.Load().(string)
	return text
}
