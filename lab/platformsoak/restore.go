package platformsoak

import (
	"time"

	"monsoonfork/platform/standin"
)

// Timing of a store that comes back from an older copy.
const (
	minAwayTime    = 200 * time.Millisecond
	maxAwayTime    = time.Second
	maxRewriteTime = 1200 * time.Millisecond // Within it the operator and the engines write again what was lost.
	maxRestores    = 2                       // Restores of one fault, all from the same copy.
)

// restoreStore makes a copy of the store. At the end of the fault the store is away for a moment and comes
// back from the copy, at times twice in a row; then the operator and the engines write again what was lost.
func restoreStore(r *run, t target) (func() error, error) {
	r.testbed.store.SaveCopy()
	return func() error {
		defer r.beginFault(storeName)()
		for range 1 + t.random.IntN(maxRestores) {
			r.testbed.store.SetFault(standin.StoreUnresponsive)
			time.Sleep(randomDuration(t.random, minAwayTime, maxAwayTime))
			r.testbed.store.Restore()
			r.testbed.store.SetFault(standin.NoFault)
			time.Sleep(randomDuration(t.random, 0, maxRewriteTime))
			if err := r.testbed.rewrite(); err != nil {
				return err
			}
		}
		return nil
	}, nil
}

// rewrite writes the configuration and the entries of the engines again.
func (w *testbed) rewrite() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.store.Configure(w.config); err != nil {
		return err
	}
	return w.engines.RewriteEntries()
}

// removeEngine removes the entry of an engine that has never reported that it drains. It serves on, and
// says in its answers that it leaves.
func removeEngine(e *standin.Engine) error {
	e.SetBehaviour(standin.AnnouncingLeaving)
	e.RemoveEntry()
	return nil
}
