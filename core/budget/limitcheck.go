package budget

import (
	"time"

	"monsoonfork/core/ident"
)

// limitCheckSlackTokens and limitCheckSlack allow for rounding errors in the
// check.
const (
	limitCheckSlackTokens = 1
	limitCheckSlack       = 10 * time.Millisecond
)

// limitCheck verifies that the admissions of one organisation on one instance
// stay within rate and burst. It is independent of the minted intervals: a
// leaky bucket that fills with admissions and drains at the rate.
type limitCheck struct {
	limit Limit
	level float64 // Tokens admitted and not yet drained.
	at    Instant // When level was last updated.
}

// recordAdmission counts an admission and reports whether the limit still
// holds.
func (m *limitCheck) recordAdmission(now Instant, limit Limit, cost ident.Tokens) bool {
	if m.limit != limit {
		*m = limitCheck{limit: limit, at: now}
	}
	drained := float64(limit.Rate) * max(0, now.Sub(m.at)).Seconds()
	m.level = max(0, m.level-drained) + float64(cost)
	m.at = max(m.at, now)
	slack := limitCheckSlackTokens + float64(limit.Rate)*limitCheckSlack.Seconds()
	return m.level <= float64(limit.Burst)+slack
}

// recordRefund subtracts refunded tokens.
func (m *limitCheck) recordRefund(tokens float64) { m.level = max(0, m.level-tokens) }
