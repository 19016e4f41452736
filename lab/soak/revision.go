package soak

import (
	"context"
	"sync"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/io/operator"
	"monsoonfork/lab/fleet"
)

// Bound and timing of the checks of the revision in force.
const (
	inForceBound         = 4 * time.Second        // From the acceptance of an edit until it is in force at every instance.
	revisionPollInterval = 200 * time.Millisecond // Interval at which an instance is queried for its revision.
	revisionTimeout      = time.Second
)

// watchRevisions checks the revision in force at each instance until ctx ends.
func (r *run) watchRevisions(ctx context.Context) {
	var work sync.WaitGroup
	for _, i := range r.fleet.Instances {
		work.Go(func() { r.watchRevision(ctx, i) })
	}
	work.Wait()
}

// watchRevision checks the revision in force at one instance: it must not fall within
// one process, nor be older than an edit accepted inForceBound ago.
func (r *run) watchRevision(ctx context.Context, i *fleet.Instance) {
	var highest, reported ident.Revision
	var starts int
	for sleep(ctx, revisionPollInterval) == nil {
		begin := time.Now()
		revision, ready := r.revisionInForce(ctx, i)
		if n := r.processGeneration(i); n != starts {
			// The answer may come from the previous process.
			starts, highest = n, 0
			continue
		}
		if !ready {
			continue
		}
		if revision < highest {
			r.findings.add(RevisionNeverFalls, "%s went from revision %d to %d", i.Name, highest, revision)
		}
		highest = max(highest, revision)
		due := r.newestEditBefore(begin.Add(-inForceBound))
		late := revision < due.revision && due.revision > reported
		if late && r.outageDuring(i, begin.Add(-inForceBound), time.Now()) == nil {
			reported = due.revision
			r.findings.add(EditsAreInForce, "%s has revision %d; revision %d was accepted %.1fs ago",
				i.Name, revision, due.revision, time.Since(due.acceptedAt).Seconds())
		}
	}
}

// revisionInForce queries an instance for its revision in force; ready is false when the
// instance does not report that it is ready for callers.
func (r *run) revisionInForce(ctx context.Context, i *fleet.Instance) (revision ident.Revision, ready bool) {
	ctx, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	if !i.Ready(ctx) {
		return 0, false
	}
	_, revision, err := operator.NewClient(i.Settings.OperatorAddress).Text(ctx)
	return revision, err == nil
}
