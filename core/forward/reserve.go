package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/pause"
)

const (
	// reserveTries is how many engines are asked for room in one go.
	reserveTries = 4
	// reserveTime is how long a reservation is needed: prefill and its queue.
	reserveTime = 1500 * time.Millisecond
	// refusedFor is how long an engine that has no room is not asked again.
	refusedFor = 150 * time.Millisecond
	// askAgain is the pause before engines are asked again.
	askAgain = 30 * time.Millisecond
	// askCallTime bounds one request for room.
	askCallTime = 250 * time.Millisecond
	// readReserve is how many times the time of the prefill is kept for it.
	readReserve = 1.5
	// firstEventTime is kept for transfer and first event.
	firstEventTime = 80 * time.Millisecond
	// waitPart is the part of its time that a request waits for room at most.
	waitPart = 0.4
	// waitObjectives is how many times its objective a request waits for room: callers
	// leave by themselves a while after that, and have to be told before.
	waitObjectives = 2
	// roomRetry is when a caller should come again for whom there was no room. Room
	// comes as streams end, which takes seconds.
	roomRetry = time.Second
)

// room is a place for a stream at a decode engine.
type room struct {
	engine      *engines.Engine
	reservation string
	end         func() // Takes the place out of the engine's load.
}

// reserve waits for room at a decode engine.
func (s *stream) reserve(ctx context.Context) (room, error) {
	r := s.router
	started := r.now()
	defer func() { r.counters.queued.UpdateSince(started) }()
	t := &turn{order: float64(s.size()) * float64(s.output()), onTimeUntil: s.onTimeUntil()}
	line := r.waiting.join(s.service.Name, t)
	defer line.leave(t)
	giveUp := s.giveUpAt()
	for {
		now := r.now()
		if line.mayAsk(t, now) {
			found, ok := s.tryReserve(ctx)
			if ok {
				return found, nil
			}
			line.refused(r.now())
		}
		if ctx.Err() != nil {
			return room{}, fault.From(context.Cause(ctx)).WithRan(fault.NotRun)
		}
		if now = r.now(); !now.Before(giveUp) {
			s.way = append(s.way, "asked", s.asked, "usable", len(s.decodeCandidates(0)))
			return room{}, fault.New(fault.Overloaded, "no decode engine has room").WithRetryAfter(now.Add(roomRetry))
		}
		pause.For(ctx, askAgain+time.Duration(rand.Int64N(int64(askAgain/2))))
	}
}

// onTimeUntil returns until when room is of use for an answer within the
// objective.
func (s *stream) onTimeUntil() time.Time {
	objective := time.Duration(s.route.FirstAnswerMS) * time.Millisecond
	need := time.Duration(readReserve*float64(s.readTime(s.Prompt, 1))) + firstEventTime
	return s.Received.Add(objective - need)
}

// giveUpAt returns until when a request waits for room.
func (s *stream) giveUpAt() time.Time {
	wait := time.Duration(waitPart * float64(s.deadline.Sub(s.Received)))
	if objective := time.Duration(s.route.FirstAnswerMS) * time.Millisecond; objective > 0 {
		wait = min(wait, waitObjectives*objective)
	}
	return s.Received.Add(wait)
}

// tryReserve asks engines for room, the best first.
func (j *job) tryReserve(ctx context.Context) (room, bool) {
	r := j.router
	size := j.size()
	list := j.decodeCandidates(size)
	if len(list) > reserveTries {
		list = list[:reserveTries]
	}
	for _, e := range list {
		end := e.Begin(size)
		now := r.now()
		j.asked++
		callCtx, cancel := context.WithTimeout(ctx, askCallTime)
		id, err := r.Calls.Reserve(callCtx, e.Entry, size, now.Add(reserveTime), now.Add(connectTime))
		cancel()
		if err == nil {
			return room{engine: e, reservation: id, end: end}, true
		}
		end()
		if ctx.Err() != nil {
			return room{}, false
		}
		now = r.now()
		if fault.Is(err, fault.EndpointRefused) {
			e.Refused(size, now.Add(refusedFor))
			continue
		}
		e.Silent(now)
	}
	return room{}, false
}

// size is the memory that the stream is likely to need at its decode engine.
func (j *job) size() ident.Tokens { return j.Prompt + j.output() }

// output is the likely length of the answer.
func (j *job) output() ident.Tokens {
	if j.Estimate == 0 {
		return j.MaxOutput
	}
	return min(j.MaxOutput, ident.Tokens(estimateFactor*float64(j.Estimate)))
}

// estimateFactor covers answers that are longer than their callers think: a stream
// that outgrows its room is put back, and its prompt is read again.
const estimateFactor = 1.5
