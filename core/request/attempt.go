package request

import (
	"slices"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/placement"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
	"monsoonfork/io/httpcall"
)

const (
	// stageFloor is the shortest time limit of a stage at an engine.
	stageFloor = 2 * time.Second
	// stageFactor is how much longer a stage may take than is reckoned.
	stageFactor = 4
	// silenceLimit is the longest pause between two tokens.
	silenceLimit = 2 * time.Second
)

// attempt is one try of a completion at a pair of engines.
type attempt struct {
	*completion
	placed *Placed
	log    log.Logger
	from   int // Tokens delivered by earlier attempts.

	prefillSent bool
	decodeSent  bool
}

// run makes the attempt. Afterwards nothing of it is held at the engines, or an
// abort is under way.
func (r *completion) run(placed *Placed) (Finished, error) {
	a := &attempt{
		completion: r,
		placed:     placed,
		log:        log.With(r.session.log, "attempt", placed.ID, "prefill", string(placed.Prefill.Name), "decode", string(placed.Decode.Name)),
		from:       len(r.delivered),
	}
	table := &r.session.path.attempts
	table.hold(placed.ID)
	finished, result, err := a.phases()
	if err != nil {
		a.abort()
	}
	// From here on another instance may abort what is left at the engines.
	table.letGo(placed.ID)
	placed.Close(placement.Outcome{Result: result, OutputTokens: ident.Tokens(len(r.delivered) - a.from)})
	return finished, err
}

// phases runs prefill and decode.
func (a *attempt) phases() (Finished, placement.Result, error) {
	path := a.session.path
	prefilled, err := a.prefill()
	if err != nil {
		return Finished{}, a.blame(err, a.placed.Prefill, placement.PrefillFailed), err
	}
	path.counters.prefillTokens.Inc(int64(prefilled.PromptTokens))
	a.placed.PrefillDone()
	finish, err := a.decode(prefilled)
	if len(a.delivered) == a.from {
		path.counters.wastedTokens.Inc(int64(prefilled.PromptTokens))
	}
	if err != nil && len(a.delivered) == a.from {
		result := a.blame(err, a.placed.Decode, placement.TransferFailed)
		if result == placement.TransferFailed {
			a.blamePrefill()
		}
		return Finished{}, result, err
	}
	if err != nil {
		return Finished{}, a.blame(err, a.placed.Decode, placement.DecodeFailed), err
	}
	if short := a.rest(); finish.Reason == "length" && short > 0 {
		err := fault.New(fault.AnswerBroken, "the engine ended %d tokens before the limit", short)
		return Finished{}, a.blame(err, a.placed.Decode, placement.DecodeFailed), err
	}
	return a.finished(finish.Reason), placement.Completed, nil
}

// blame notes the engine that failed, and returns the result of the attempt.
func (a *attempt) blame(err error, e text.Engine, result placement.Result) placement.Result {
	if a.session.ctx.Err() != nil {
		return placement.Cancelled
	}
	if !endpointFault(fault.From(err)) {
		return placement.Cancelled
	}
	a.avoid = append(a.avoid, e.Name)
	return result
}

// blamePrefill notes a failed transfer. Either engine may be the cause: after
// the second failure from the same prefill engine, it is avoided in place of
// the decode engines.
func (a *attempt) blamePrefill() {
	from := a.placed.Prefill.Name
	if a.transfers == nil {
		a.transfers = make(map[ident.EndpointID][]ident.EndpointID)
	}
	a.transfers[from] = append(a.transfers[from], a.placed.Decode.Name)
	failed := a.transfers[from]
	if len(failed) < 2 {
		return
	}
	a.avoid = slices.DeleteFunc(a.avoid, func(id ident.EndpointID) bool { return slices.Contains(failed, id) })
	a.avoid = append(a.avoid, from)
}

// prefill runs the prefill phase.
func (a *attempt) prefill() (engine.Prefilled, error) {
	prefilled, err := a.session.path.Prefill(a.session.ctx, a.placed.Prefill.Address, engine.PrefillCall{
		Attempt:      a.placed.ID,
		Model:        a.Model,
		Prompt:       a.Prompt,
		ContinueFrom: a.delivered,
		Priority:     a.session.Route.Priority,
		Limits:       httpcall.Limits{WholeBy: a.stageBy(a.prefillTime())},
	})
	a.prefillSent = a.note(err)
	if err == nil {
		a.prompt = prefilled.PromptTokens
	}
	return prefilled, err
}

// decode runs the decode phase.
func (a *attempt) decode(prefilled engine.Prefilled) (engine.Finish, error) {
	next := a.from
	finish, err := a.session.path.Decode(a.session.ctx, a.placed.Decode.Address, engine.DecodeCall{
		Attempt:      a.placed.ID,
		Model:        a.Model,
		Prompt:       a.Prompt,
		MaxTokens:    a.rest(),
		ContinueFrom: a.delivered[:a.from:a.from],
		Priority:     a.session.Route.Priority,
		Transfer:     prefilled.Transfer,
		Limits: httpcall.Limits{
			FirstByteBy: a.stageBy(a.transferTime()),
			PieceWithin: silenceLimit,
			WholeBy:     a.session.Deadline,
		},
	}, func(d engine.Delta) error {
		index := next
		next += len(d.IDs)
		return a.deliver(index, d)
	})
	a.decodeSent = a.note(err)
	return finish, err
}

// note records whether a call may have reached an engine, and reports it.
func (a *attempt) note(err error) bool {
	if err != nil && fault.From(err).Ran == fault.NotRun {
		return false
	}
	a.session.markSent()
	return true
}

// abort frees the engines that may hold something of the attempt.
func (a *attempt) abort() {
	path := a.session.path
	if a.prefillSent {
		path.abort(a.log, a.placed.Prefill, a.placed.ID)
	}
	if a.decodeSent {
		path.abort(a.log, a.placed.Decode, a.placed.ID)
	}
}

// stageBy returns the time limit of a stage that is reckoned to take d.
func (a *attempt) stageBy(d time.Duration) time.Time {
	by := a.session.path.now().Add(max(stageFloor, stageFactor*d))
	if by.After(a.session.Deadline) {
		return a.session.Deadline
	}
	return by
}

// prefillTime reckons how long the prefill takes.
func (a *attempt) prefillTime() time.Duration {
	rate := a.placed.Prefill.PrefillRate
	if rate <= 0 {
		return time.Until(a.session.Deadline)
	}
	tokens := float64(a.bound) + float64(len(a.delivered))
	return time.Duration(tokens / rate * float64(time.Second))
}

// transferTime reckons how long the transfer of the KV cache takes, on the
// slower of the two links.
func (a *attempt) transferTime() time.Duration {
	link := slowerLink(a.placed.Prefill.LinkBytes, a.placed.Decode.LinkBytes)
	if link <= 0 {
		return 0
	}
	size := float64(a.bound+ident.Tokens(len(a.delivered))) * float64(a.model.BytesPerKVToken)
	return time.Duration(size / float64(link) * float64(time.Second))
}

// slowerLink returns the lower of two rates, of which zero means unlimited.
func slowerLink(x, y ident.Bytes) ident.Bytes {
	if x <= 0 || (y > 0 && y < x) {
		return y
	}
	return x
}
