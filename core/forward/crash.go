package forward

import (
	"context"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// beginningTime is how long after its first data an answer counts as beginning. A prompt that
// crashes its engine does so while the answer begins.
const beginningTime = 50 * time.Millisecond

// answerProgress is how far the answer of the current call to a decode engine has come.
type answerProgress struct {
	firstDataAt time.Time // When the first data arrived; zero if none has.
}

// recordData records that data of the answer has arrived.
func (p *answerProgress) recordData(now time.Time) {
	if p.firstDataAt.IsZero() {
		p.firstDataAt = now
	}
}

// isBeginning reports whether the answer has not begun, or only just.
func (p *answerProgress) isBeginning(now time.Time) bool {
	return p.firstDataAt.IsZero() || now.Sub(p.firstDataAt) < beginningTime
}

// dataMS returns the milliseconds since the first data, or -1 if there was none.
func (p *answerProgress) dataMS(now time.Time) int64 {
	if p.firstDataAt.IsZero() {
		return -1
	}
	return now.Sub(p.firstDataAt).Milliseconds()
}

// joinParts returns the ids of parts for a log line.
func joinParts(parts []ident.PartID) string {
	texts := make([]string, len(parts))
	for i, p := range parts {
		texts[i] = string(p)
	}
	return strings.Join(texts, ",")
}

// checkCrash examines whether an engine has crashed under the request: it has broken off the
// answer, which was beginning, and its address refuses connections since. An engine that leaves
// may end at any time.
func (s *stream) checkCrash(ctx context.Context, e *engines.Engine, f *fault.Error) bool {
	now := s.router.now()
	broken := f.Kind == fault.AnswerBroken || f.Kind == fault.EndpointFailed
	if !broken || f.Ran == fault.NotRun || len(s.Parts) == 0 || !s.progress.isBeginning(now) || !e.Usable() {
		return false
	}
	if !s.router.Calls.IsDown(ctx, e.Entry, now.Add(connectTimeout)) {
		return false
	}
	_ = level.Warn(s.log).Log("msg", event.EngineCrashed, "engine", e.ID, "data_ms", s.progress.dataMS(now), "model", s.Model, "parts", joinParts(s.Parts), "err", f)
	return true
}
