package engines

import (
	"math"
	"time"
)

const (
	// failureRateHalfLife is the half-life of a failure rate without new outcomes.
	failureRateHalfLife = 2 * time.Second
	// failedAnswerWeight is the weight of an answer that reports success or failure.
	failedAnswerWeight = 0.2
	// noAnswerWeight is the weight of a call without an answer, and of a transfer of a
	// prefilled prompt to the engine, whether it succeeded or not.
	noAnswerWeight = 0.6
)

// failureRate is an exponentially decaying average of outcomes: 0 for a success, 1 for
// a failure. It has no lock of its own; the owner must hold one.
type failureRate struct {
	value     float64
	updatedAt time.Time
}

// record moves the rate towards an outcome, by the given weight.
func (f *failureRate) record(outcome, weight float64, at time.Time) {
	old := f.valueAt(at)
	f.value, f.updatedAt = old+weight*(outcome-old), at
}

// valueAt returns the rate decayed to the given time.
func (f *failureRate) valueAt(at time.Time) float64 {
	if f.value == 0 {
		return 0
	}
	return f.value * math.Exp2(-float64(at.Sub(f.updatedAt))/float64(failureRateHalfLife))
}
