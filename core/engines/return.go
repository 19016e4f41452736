package engines

//go:generate stringer -type=ReturnOutcome -trimprefix=Return -output=returnoutcome_string.go

// ReturnOutcome tells what became of an entry by which an engine that has left is ready again.
type ReturnOutcome int

// The outcomes of such an entry. It may be delayed first, and applied or cancelled later.
const (
	ReturnDelayed   ReturnOutcome = iota // It waits until what the store has lost is written again.
	ReturnCancelled                      // A later change of the engine has replaced it within the delay.
	ReturnApplied                        // It is in force.
)

// Return is an entry by which an engine that is leaving, or whose run has ended, is ready again.
type Return struct {
	Entry     Entry
	Outcome   ReturnOutcome
	Announced bool // The engine has announced in an answer that it leaves, so that it gets no requests anyway.
}

// SetOnReturns sets the function that is called with returns of engines that have the same outcome. It
// must not call the table, and is set before the first engines are applied.
func (t *Table) SetOnReturns(onReturns func([]Return)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onReturns = onReturns
}

// reportReturns passes returns on. The caller must hold mu.
func (t *Table) reportReturns(list []Return) {
	if len(list) > 0 && t.onReturns != nil {
		t.onReturns(list)
	}
}

// delayReturns makes the table leave out entries by which engines that have left are ready again, until
// acceptReturns is called.
func (t *Table) delayReturns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delaysReturns = true
}

// acceptReturns ends what delayReturns began, and reports whether it had begun.
func (t *Table) acceptReturns() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	delayed := t.delaysReturns
	t.delaysReturns = false
	return delayed
}

// reportCancelled reports a delayed return that is not applied.
func (t *Table) reportCancelled(e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportReturns([]Return{t.newReturn(e, ReturnCancelled)})
}

// newReturn describes a return. The caller must hold mu.
func (t *Table) newReturn(e Entry, outcome ReturnOutcome) Return {
	known := t.leftRun(e)
	return Return{Entry: e, Outcome: outcome, Announced: known != nil && known.hasAnnouncedLeaving()}
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
