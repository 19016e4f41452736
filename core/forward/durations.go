package forward

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"monsoonfork/core/ident"
)

const (
	// durationSamples is the number of the newest durations that are kept of a service.
	durationSamples = 256
	// similarSamples is the number of durations from which one is estimated: those of the
	// requests with the most similar expected output.
	similarSamples = 32
	// durationQuantile is the fraction of similar requests that take no longer than estimated.
	durationQuantile = 0.9
	// shortestQuantile is the fraction of similar requests that take less than the shortest time.
	shortestQuantile = 0.1
)

// durations holds how long requests take, by service.
type durations struct {
	mu       sync.Mutex
	services map[ident.ServiceID]*serviceDurations
}

// serviceDurations holds how long the newest requests of a service took, and since when its
// others run.
type serviceDurations struct {
	ended   []duration // At most durationSamples.
	oldest  int        // Index in ended of the next to be replaced, once it is full.
	running map[*runningRequest]struct{}
}

// duration is how long a request took from its arrival to the end of its answer.
type duration struct {
	output ident.Tokens // Expected length of the answer; 1 for plain services.
	took   time.Duration
}

// runningRequest is a request without a complete answer.
type runningRequest struct {
	output   ident.Tokens
	received time.Time
}

// service returns the durations of a service. The caller must hold d.mu.
func (d *durations) service(s ident.ServiceID) *serviceDurations {
	if d.services == nil {
		d.services = make(map[ident.ServiceID]*serviceDurations)
	}
	if d.services[s] == nil {
		d.services[s] = &serviceDurations{running: make(map[*runningRequest]struct{})}
	}
	return d.services[s]
}

// begin adds a running request, and returns a function that removes it.
func (d *durations) begin(s ident.ServiceID, output ident.Tokens, received time.Time) (end func()) {
	r := &runningRequest{output, received}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service(s).running[r] = struct{}{}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.service(s).running, r)
	}
}

// record adds the duration of a request with a complete answer.
func (d *durations) record(s ident.ServiceID, output ident.Tokens, took time.Duration) {
	if output <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	service := d.service(s)
	if len(service.ended) < durationSamples {
		service.ended = append(service.ended, duration{output, took})
		return
	}
	service.ended[service.oldest] = duration{output, took}
	service.oldest = (service.oldest + 1) % durationSamples
}

// estimate returns the time that few requests with this expected output exceed; 0 while none
// has ended. Running requests that have exceeded it already count with their age, as engines
// may have become slower since the others ended.
func (d *durations) estimate(s ident.ServiceID, output ident.Tokens, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	service := d.service(s)
	if len(service.ended) == 0 {
		return 0
	}
	samples := service.newestFirst()
	estimate := estimateFrom(samples, output, durationQuantile)
	var exceeding []duration
	for r := range service.running {
		running := duration{r.output, now.Sub(r.received)}
		if r.output > 0 && running.scaledTo(output) > estimate {
			exceeding = append(exceeding, running)
		}
	}
	if len(exceeding) == 0 {
		return estimate
	}
	return estimateFrom(append(exceeding, samples...), output, durationQuantile)
}

// shortest returns the time that nearly all requests with this expected output exceed; 0 while
// few have ended.
func (d *durations) shortest(s ident.ServiceID, output ident.Tokens) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	samples := d.service(s).newestFirst()
	if len(samples) < similarSamples {
		return 0
	}
	return estimateFrom(samples, output, shortestQuantile)
}

// newestFirst returns the durations of the requests that have ended, the newest first.
func (s *serviceDurations) newestFirst() []duration {
	list := slices.Concat(s.ended[s.oldest:], s.ended[:s.oldest])
	slices.Reverse(list)
	return list
}

// scaledTo returns how long a request with another expected output takes at the same rate.
func (d duration) scaledTo(output ident.Tokens) time.Duration {
	return time.Duration(float64(d.took) * float64(output) / float64(d.output))
}

// estimateFrom returns a quantile of the durations of similar requests, each scaled to the
// given output. Of equally similar ones the first samples count.
func estimateFrom(samples []duration, output ident.Tokens, quantile float64) time.Duration {
	if len(samples) == 0 || output <= 0 {
		return 0
	}
	similar := slices.Clone(samples)
	slices.SortStableFunc(similar, func(a, b duration) int {
		return cmp.Compare(outputDistance(a.output, output), outputDistance(b.output, output))
	})
	similar = similar[:min(len(similar), similarSamples)]
	scaled := make([]time.Duration, len(similar))
	for i, sample := range similar {
		scaled[i] = sample.scaledTo(output)
	}
	slices.Sort(scaled)
	return scaled[int(math.Ceil(quantile*float64(len(scaled))))-1]
}

// outputDistance returns how much two expected outputs differ, as the ratio of the larger one.
func outputDistance(a, b ident.Tokens) float64 {
	return float64(max(a, b)) / float64(min(a, b))
}
