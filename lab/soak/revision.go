package soak

import (
	"context"
	"sync"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/io/operator"
	"monsoonfork/lab/fleet"
)

// Bounds of what the text says, from the acceptance of an edit.
const (
	inForceBound     = 4 * time.Second
	revisionInterval = 200 * time.Millisecond // Between looks at the revision of an instance.
	revisionTimeout  = time.Second
)

// watchRevisions looks at the revision in force at each instance until ctx ends.
func (r *run) watchRevisions(ctx context.Context) {
	var work sync.WaitGroup
	for _, i := range r.fleet.Instances {
		work.Go(func() { r.watchRevision(ctx, i) })
	}
	work.Wait()
}

// watchRevision looks at the revision in force at one instance: it never falls
// in one process, and is not older than an edit accepted inForceBound ago.
func (r *run) watchRevision(ctx context.Context, i *fleet.Instance) {
	var highest, reported ident.Revision
	var starts int
	for wait(ctx, revisionInterval) == nil {
		begin := time.Now()
		revision, ready := r.revisionOf(ctx, i)
		if n := r.starts(i); n != starts {
			// The answer may be of the process before.
			starts, highest = n, 0
			continue
		}
		if !ready {
			continue
		}
		if revision < highest {
			r.findings.add(RevisionNeverFalls, "%s went from %d to %d", i.Name, highest, revision)
		}
		highest = max(highest, revision)
		due := r.newestBefore(begin.Add(-inForceBound))
		late := revision < due.revision && due.revision > reported
		if late && r.disturbed(i, begin.Add(-inForceBound), time.Now()) == nil {
			reported = due.revision
			r.findings.add(EditsAreInForce, "%s has revision %d, while %d was accepted %.1fs ago",
				i.Name, revision, due.revision, time.Since(due.at).Seconds())
		}
	}
}

// revisionOf asks an instance for its revision; ready is false when it does not
// say that it is ready for callers.
func (r *run) revisionOf(ctx context.Context, i *fleet.Instance) (revision ident.Revision, ready bool) {
	ctx, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	if !i.Ready(ctx) {
		return 0, false
	}
	_, revision, err := operator.NewClient(i.Settings.OperatorAddress).Text(ctx)
	return revision, err == nil
}
