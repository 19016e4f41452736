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

// most prints how many calls a second the instance carries when callers send
// the next call as soon as they have the answer to the last one.
func (m *measurement) most(ctx context.Context, out io.Writer) error {
	name := m.fleet.Spec.Workload.Organisations[0].Name
	sorts := []struct {
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
		// The engines are the limit here, so only the processor time of a call tells.
		{fmt.Sprintf("streamed completions of %d tokens", longAnswer), engineCallers, func(n int64) workload.Request {
			return workload.Request{
				Kind:         workload.Completion,
				Organisation: name,
				Prompt:       promptOf("most", int(n)),
				MaxTokens:    longAnswer,
				Stream:       true,
			}
		}},
	}
	for _, s := range sorts {
		if err := m.saturate(ctx, out, s.name, s.callers, s.next); err != nil {
			return err
		}
	}
	return nil
}

// saturate sends one sort of call from all callers at once.
func (m *measurement) saturate(ctx context.Context, out io.Writer, name string, concurrency int, next func(n int64) workload.Request) error {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Length)
	defer cancel()
	instance := m.fleet.Instances[0].Process
	before, err := instance.Usage()
	if err != nil {
		return err
	}
	var number, whole, other atomic.Int64
	var detail atomic.Value // Of a call that was not whole.
	start := time.Now()
	var callers sync.WaitGroup
	for range concurrency {
		callers.Go(func() {
			for ctx.Err() == nil {
				result := m.sender.Send(ctx, next(number.Add(1)))
				if result.Outcome() == load.Whole {
					whole.Add(1)
				} else if ctx.Err() == nil {
					other.Add(1)
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
	used := after.Processor - before.Processor
	perSecond := float64(whole.Load()) / elapsed.Seconds()
	busy := used.Seconds() / elapsed.Seconds()
	_, err = fmt.Fprintf(out, "%s, %d callers: %.0f a second, %d not whole%s; processor %.2f of %d cores, %.0f us a call, %.0f a second on two full cores; resident %.1f MB\n",
		name, concurrency, perSecond, other.Load(), textOf(&detail), busy, coresAllowed,
		float64(used.Microseconds())/float64(max(whole.Load(), 1)),
		perSecond*coresAllowed/max(busy, 0.01), float64(after.Resident)/(1<<20))
	return err
}

// textOf returns the text in v, or "".
func textOf(v *atomic.Value) string {
	text, _ := v.Load().(string)
	return text
}
