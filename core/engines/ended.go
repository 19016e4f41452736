package engines

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxEndedRuns is the largest number of ended runs that a table keeps. It is several times the number
// of engines of the largest fleet, so that the runs that ended within the last minutes are among them.
const maxEndedRuns = 4_000

// endedRuns keeps the engines whose runs are no longer listed, up to maxEndedRuns of them. An entry may
// be lost and written again while its engine runs, and an older copy of the store may have an entry
// whose engine has left.
type endedRuns struct {
	byRun *simplelru.LRU[Run, *Engine]
}

// newEndedRuns returns an empty set of ended runs.
func newEndedRuns() endedRuns {
	byRun, err := simplelru.NewLRU[Run, *Engine](maxEndedRuns, nil)
	if err != nil {
		panic(err) // Only for a size that is not above 0.
	}
	return endedRuns{byRun}
}

// add keeps the engine of a run that has ended. Beyond maxEndedRuns the one that ended first is forgotten.
func (r endedRuns) add(e *Engine) { r.byRun.Add(e.Run(), e) }

// get returns the engine of an ended run, or nil if it is not known.
func (r endedRuns) get(run Run) *Engine {
	e, _ := r.byRun.Peek(run)
	return e
}

// take returns the engine of an ended run and forgets it, as its entry is listed again. It returns nil
// if the run is not known.
func (r endedRuns) take(run Run) *Engine {
	e := r.get(run)
	r.byRun.Remove(run)
	return e
}
