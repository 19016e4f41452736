package engines

//go:generate stringer -type=ReturnOutcome -trimprefix=Return -output=returnoutcome_string.go

// ReturnOutcome tells what became of an entry by which an engine that has left is ready again.
type ReturnOutcome int

// The outcomes of such an entry. Those of the list may be delayed first, and are applied or cancelled
// later.
const (
	ReturnDelayed ReturnOutcome = iota // It waits until engines have registered again.

	ReturnApplied // It is in force.
)

// Return is an entry by which an engine that is leaving, or whose run has ended, is ready again.
type Return struct {
	Entry     Entry
	Outcome   ReturnOutcome
	Announced bool // The engine has announced in an answer that it leaves, so that it gets no requests anyway.
}

// SetOnReturns sets the function that is called with returns of engines that have the same outcome. It must not call the
// table, and is set before the first engines are applied.
func (t *Table) SetOnReturns(onReturns func([]Return)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onReturns = onReturns
}

// newReturn describes an entry that isReturn accepts. The caller must hold mu.
func (t *Table) newReturn(e Entry, outcome ReturnOutcome) Return {
	known := t.leftRun(e)
	return Return{Entry: e, Outcome: outcome, Announced: known != nil && known.hasAnnouncedLeaving()}
}

// reportReturns passes returns on. The caller must hold mu.
func (t *Table) reportReturns(list []Return) {
	if len(list) > 0 && t.onReturns != nil {
		t.onReturns(list)
	}
}

// isReturn reports whether a change makes an engine ready whose run is leaving or known to have ended.
// The caller must hold mu.
func (t *Table) isReturn(c Change) bool {
	return !c.Removed && c.Entry.State == Ready && t.leftRun(c.Entry) != nil
}

// leftRun returns the engine of the run that an entry describes if it is leaving or has ended, as far as
// known; otherwise nil. The caller must hold mu.
func (t *Table) leftRun(entry Entry) *Engine {
	listed := t.engines[entry.ID]
	switch {
	case listed == nil || listed.Run() != entry.Run():
		return t.ended.get(entry.Run())
	case listed.CurrentEntry().State != Leaving:
		return nil
	default:
		return listed
	}
}
