package placement

import "time"

// Parameters of the circuit breaker of an engine. breakerThreshold is the weighted
// number of failures at which it opens.
const (
	breakerThreshold   = 2
	breakerInitialOpen = 500 * time.Millisecond
	breakerMaxOpen     = 30 * time.Second
)

// breaker is the circuit breaker of an engine. While it is open the engine gets
// no requests. After the open period it is half open: it admits one request as
// a probe.
type breaker struct {
	failures   int           // Weighted number of failures since the last success.
	backoff    time.Duration // Length of the last open period; it doubles each time.
	openUntil  time.Time     // End of the open period; zero when the breaker is closed.
	probeLease LeaseID       // Lease of the probe in progress, or "".
}

// allows reports whether the engine may get a request now.
func (b *breaker) allows(now time.Time) bool {
	if b.openUntil.IsZero() {
		return true
	}
	return b.probeLease == "" && !now.Before(b.openUntil)
}

// started records that a request was placed on the engine. The request becomes
// the probe if the breaker is half open.
func (b *breaker) started(id LeaseID) {
	if !b.openUntil.IsZero() {
		b.probeLease = id
	}
}

// succeeded closes the breaker and resets its backoff.
func (b *breaker) succeeded() { *b = breaker{} }

// failed records a failure with the given weight. When the threshold is reached
// or the probe failed, the breaker opens, each time for twice as long up to
// breakerMaxOpen. A failure during an open period, other than the probe's, does
// not extend it.
func (b *breaker) failed(id LeaseID, weight int, now time.Time) {
	probed := b.probeLease == id && id != ""
	if probed {
		b.probeLease = ""
	}
	b.failures += weight
	if !probed && (b.failures < breakerThreshold || now.Before(b.openUntil)) {
		return
	}
	b.backoff = min(max(b.backoff*2, breakerInitialOpen), breakerMaxOpen)
	b.openUntil = now.Add(b.backoff)
}

// inconclusive records that a request ended without a result that says whether
// the engine works. If it was the probe, another request may become the probe.
func (b *breaker) inconclusive(id LeaseID) {
	if b.probeLease == id {
		b.probeLease = ""
	}
}
