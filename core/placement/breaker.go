package placement

import "time"

// Settings of the circuit breaker of an engine.
const (
	breakerThreshold = 2
	breakerFirstOpen = 500 * time.Millisecond
	breakerLongest   = 30 * time.Second
)

// breaker keeps work away from a failing engine. After the time it stays open
// it lets one request through as a probe.
type breaker struct {
	score   int           // Failures since the last success, weighted.
	backoff time.Duration // Length of the next open period.
	until   time.Time     // End of the open period; zero when closed.
	probe   LeaseID       // The probe under way, or "".
}

// allows reports whether the engine may get a request.
func (b *breaker) allows(now time.Time) bool {
	if b.until.IsZero() {
		return true
	}
	return b.probe == "" && !now.Before(b.until)
}

// started notes a request sent to the engine; it is the probe when the
// breaker is half open.
func (b *breaker) started(id LeaseID) {
	if !b.until.IsZero() {
		b.probe = id
	}
}

// succeeded closes the breaker.
func (b *breaker) succeeded() { *b = breaker{} }

// failed counts a failure. At the threshold, or when the probe failed, the
// breaker opens for a time that doubles.
func (b *breaker) failed(id LeaseID, weight int, now time.Time) {
	probed := b.probe == id && id != ""
	if probed {
		b.probe = ""
	}
	b.score += weight
	if !probed && (b.score < breakerThreshold || now.Before(b.until)) {
		return
	}
	b.backoff = min(max(b.backoff*2, breakerFirstOpen), breakerLongest)
	b.until = now.Add(b.backoff)
}

// ended notes that a request ended without telling anything of the engine, so
// that another probe may go out.
func (b *breaker) ended(id LeaseID) {
	if b.probe == id {
		b.probe = ""
	}
}
