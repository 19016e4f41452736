package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

const (
	// firstSpeed is the assumed speed of prefill until one was seen, in tokens a
	// millisecond.
	firstSpeed = 20.0
	// speedSample is the smallest prompt that tells the speed.
	speedSample = 1500
	// speedFade lets the highest speed that was seen fade with each sample.
	speedFade = 0.998
	// localSpeed is the speed of prefill at a decode engine, of that at a prefill
	// engine.
	localSpeed = 0.5
	// localPenalty is how much faster a decode engine has to be done to read the
	// prompt itself: it slows the streams that it makes.
	localPenalty = 2.0
	// prefillSlack and prefillFactor bound a prefill by its estimate.
	prefillSlack  = 500 * time.Millisecond
	prefillFactor = 2.0
	// doubtful is the doubt from which a prefill engine is not used while the
	// decode engine can read the prompt.
	doubtful = 0.3
	// maxPrefillTries bounds the prefill engines that are called for one prompt.
	maxPrefillTries = 3
	// prefillRefused is how long an engine is not called that did not take a prefill:
	// it is full, changes its stage, or can't be reached.
	prefillRefused = 500 * time.Millisecond
	// farRead is what a prefill engine in another failure domain counts.
	farRead = 10 * time.Millisecond
	// readSpread keeps instances from all choosing the first of the prefill engines
	// that look alike: an instance sees its own prefills only.
	readSpread = 12 * time.Millisecond
)

// prompt is a prefilled prompt, or none.
type prompt struct {
	engine *engines.Engine
	source Source
}

// prefillSpeed is the speed of prefill that was seen at a service.
type prefillSpeed struct {
	mu    sync.Mutex
	perMS map[ident.ServiceID]float64 // Tokens a millisecond.
}

// of returns the speed of a service.
func (p *prefillSpeed) of(s ident.ServiceID) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.perMS[s]; v > 0 {
		return v
	}
	return firstSpeed
}

// saw notes a prefill.
func (p *prefillSpeed) saw(s ident.ServiceID, tokens ident.Tokens, took time.Duration) {
	if tokens < speedSample || took <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.perMS == nil {
		p.perMS = make(map[ident.ServiceID]float64)
	}
	p.perMS[s] = max(speedFade*p.perMS[s], float64(tokens)/milliseconds(took))
}

// milliseconds returns a time in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// readTime returns how long tokens take to be read at a part of the usual speed.
func (s *stream) readTime(tokens ident.Tokens, part float64) time.Duration {
	ms := float64(tokens) / (part * s.router.speed.of(s.service.Name))
	return time.Duration(ms * float64(time.Millisecond))
}

// estimate returns how long an engine will take to have read the prompt.
func (s *stream) estimate(e *engines.Engine, part float64) time.Duration {
	t := e.Wait(s.router.now()) + s.readTime(e.Load().Prefill+s.Prompt, part)
	if e.Domain != s.router.domain {
		t += farRead
	}
	return t
}

// choosePrefill returns the engine that is likely to have read the prompt first,
// and when. It is nil if the decode engine is to read the prompt.
func (s *stream) choosePrefill(decode *engines.Engine) (*engines.Engine, time.Duration) {
	now := s.router.now()
	var best *engines.Engine
	var soonest, estimated time.Duration
	for _, e := range s.router.Engines(s.service.Name) {
		if e.StageNow() != engines.Prefill || !e.Usable() || e.IsSpared(now) || e.Doubt(now) > doubtful || !e.HasRoom(s.Prompt, now) {
			continue
		}
		t := s.estimate(e, 1)
		if apart := t + rand.N(readSpread); best == nil || apart < soonest {
			best, soonest, estimated = e, apart, t
		}
	}
	if best == nil || float64(estimated) > localPenalty*float64(s.estimate(decode, localSpeed)) {
		return nil, 0
	}
	return best, estimated
}

// prefill has the prompt read. Engines that do not take the call are followed by
// others; without an engine for it the decode engine reads the prompt itself.
func (s *stream) prefill(ctx context.Context, decode *engines.Engine) (prompt, error) {
	for range maxPrefillTries {
		e, soonest := s.choosePrefill(decode)
		if e == nil {
			break
		}
		started := s.router.now()
		handle, err := s.callPrefill(ctx, e, soonest)
		if err == nil {
			s.passed("read", e, started)
			return prompt{e, Source{Address: e.Address, Handle: handle}}, nil
		}
		if ctx.Err() != nil {
			return prompt{}, fault.From(context.Cause(ctx)).WithRan(fault.NotRun)
		}
		f := fault.From(err)
		_ = level.Info(s.log).Log("msg", event.PrefillFailed, "engine", e.ID, "estimate_ms", soonest.Milliseconds(), "ran", f.Ran, "err", err)
		if f.Kind == fault.EndpointRefused || f.Ran != fault.NotRun {
			s.router.charge(s.service.Name)
		}
		if f.Ran != fault.NotRun {
			break
		}
		e.Refused(0, s.router.now().Add(prefillRefused))
	}
	s.router.counters.localRead.Inc(1)
	return prompt{}, nil
}

// callPrefill has one engine read the prompt. It does not run the request.
func (s *stream) callPrefill(ctx context.Context, e *engines.Engine, soonest time.Duration) (string, error) {
	ahead := e.Load().Prefill
	defer e.BeginPrefill(s.Prompt)()
	limit := time.Duration(prefillFactor*float64(soonest)) + prefillSlack
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started := s.router.now()
	handle, err := s.router.Calls.Prefill(ctx, s.call(e))
	now := s.router.now()
	took := now.Sub(started)
	if err != nil {
		s.judge(e, result{err: err})
		e.Waited(took, now)
		return "", err
	}
	s.router.speed.saw(s.service.Name, s.Prompt, took)
	e.Waited(max(0, took-s.readTime(ahead+s.Prompt, 1)), now)
	e.Succeeded(now)
	return handle, nil
}

// localRead is a prompt that a decode engine is reading.
type localRead struct {
	engine  *engines.Engine
	started time.Time
	ahead   ident.Tokens
	end     func()
}

// beginLocal notes that a decode engine begins to read the prompt.
func (s *stream) beginLocal(e *engines.Engine) *localRead {
	ahead := e.Load().Prefill
	return &localRead{engine: e, started: s.router.now(), ahead: ahead, end: e.BeginPrefill(s.Prompt)}
}

// endLocal notes that the decode engine has read the prompt, or that its call has
// ended.
func (s *stream) endLocal() {
	l := s.reading
	if l == nil {
		return
	}
	s.reading = nil
	l.end()
	now := s.router.now()
	l.engine.Waited(max(0, now.Sub(l.started)-s.readTime(l.ahead+s.Prompt, localSpeed)), now)
}
