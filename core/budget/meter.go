package budget

import (
	"time"

	"monsoonfork/core/ident"
)

// meterSlackTokens and meterSlack allow for rounding in the meter's check.
const (
	meterSlackTokens = 1
	meterSlack       = 10 * time.Millisecond
)

// meter asserts that what one home admits for an organisation stays within
// rate and burst. It knows nothing of minted time: it is a plain bucket that
// fills with admissions and drains at the rate.
type meter struct {
	limit Limit
	level float64
	at    Instant
}

// admitted counts an admission and reports whether the limit still holds.
func (m *meter) admitted(now Instant, limit Limit, cost ident.Tokens) bool {
	if m.limit != limit {
		*m = meter{limit: limit, at: now}
	}
	drained := float64(limit.Rate) * max(0, now.Sub(m.at)).Seconds()
	m.level = max(0, m.level-drained) + float64(cost)
	m.at = max(m.at, now)
	slack := meterSlackTokens + float64(limit.Rate)*meterSlack.Seconds()
	return m.level <= float64(limit.Burst)+slack
}

// refunded counts tokens given back.
func (m *meter) refunded(tokens float64) { m.level = max(0, m.level-tokens) }
