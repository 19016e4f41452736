package soak

import (
	"context"
	"fmt"
	"time"

	"monsoonfork/core/config"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
	"monsoonfork/io/operator"
	"monsoonfork/lab/fleet"
)

// Timing of edits.
const (
	editTimeout       = 30 * time.Second
	editRetryInterval = 300 * time.Millisecond // Pause between two attempts of an edit.
)

// acceptedEdit is an edit of the text that an instance has accepted.
type acceptedEdit struct {
	revision   ident.Revision
	acceptedAt time.Time
	raw        []byte
}

// edit changes the text in force as an operator does: it reads the text, changes it
// and applies it with the revision read as its base. After a conflict it starts over
// with a new edit id; after an unknown outcome it retries with the same id.
func (r *run) edit(ctx context.Context, name string, change func(*text.Text)) (acceptedEdit, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		accepted, err := r.tryEdit(ctx, fmt.Sprintf("%s-%d", name, attempt), change)
		if err == nil {
			return accepted, nil
		}
		if fault.Is(err, fault.BadText) || sleep(ctx, editRetryInterval) != nil {
			err = fmt.Errorf("edit %s: %w", name, err)
			r.findings.add(EditsAreAccepted, "%v", err)
			return acceptedEdit{}, err
		}
	}
}

// tryEdit makes one attempt of an edit and finds out its outcome. On an error the
// edit was not accepted, or ctx ended before its outcome was known.
func (r *run) tryEdit(ctx context.Context, id string, change func(*text.Text)) (acceptedEdit, error) {
	client, err := r.operatorClient()
	if err != nil {
		return acceptedEdit{}, err
	}
	current, base, err := client.Text(ctx)
	if err != nil {
		return acceptedEdit{}, err
	}
	changed, err := text.ParseValid(current)
	if err != nil {
		return acceptedEdit{}, err
	}
	change(changed)
	raw, err := fleet.Encode(changed)
	if err != nil {
		return acceptedEdit{}, err
	}
	accepted, err := client.Apply(ctx, raw, base, id)
	for fault.Is(err, fault.OutcomeUnknown) && sleep(ctx, editRetryInterval) == nil {
		if client, err = r.operatorClient(); err != nil {
			err = fault.Wrap(err, fault.OutcomeUnknown, "edit %s", id)
			continue
		}
		accepted, err = r.retryApply(ctx, client, raw, base, id)
	}
	if err != nil {
		return acceptedEdit{}, err
	}
	return r.recordAcceptance(accepted, raw, base), nil
}

// retryApply applies an edit of unknown outcome again with the same id, which returns
// its outcome.
func (r *run) retryApply(ctx context.Context, client *operator.Client, raw []byte, base ident.Revision, id string) (config.ApplyResult, error) {
	accepted, err := client.Apply(ctx, raw, base, id)
	if fault.Is(err, fault.StoreUnavailable) || fault.Is(err, fault.PeerUnavailable) {
		// This call was not accepted, but the outcome of the first is still unknown.
		return accepted, fault.Wrap(err, fault.OutcomeUnknown, "edit %s", id)
	}
	return accepted, err
}

// recordAcceptance records an accepted edit and reports two edits with the same revision.
func (r *run) recordAcceptance(accepted config.ApplyResult, raw []byte, base ident.Revision) acceptedEdit {
	a := acceptedEdit{revision: accepted.Revision, acceptedAt: time.Now(), raw: raw}
	r.mu.Lock()
	defer r.mu.Unlock()
	if accepted.Revision != base+1 {
		r.findings.add(EditsAreNotLost, "edit %s on revision %d became revision %d", accepted.EditID, base, accepted.Revision)
	}
	for _, other := range r.acceptedEdits {
		if other.revision == a.revision {
			r.findings.add(EditsAreNotLost, "edit %s is the second one accepted as revision %d", accepted.EditID, a.revision)
		}
	}
	r.acceptedEdits = append(r.acceptedEdits, a)
	return a
}

// operatorClient returns a client of an instance without a fault, rotating over the instances.
func (r *run) operatorClient() (*operator.Client, error) {
	n := int(r.sequence.Add(1))
	for k := range r.fleet.Instances {
		i := r.fleet.Instances[(n+k)%len(r.fleet.Instances)]
		if !r.hasFault(i.Name) {
			return operator.NewClient(i.Settings.OperatorAddress), nil
		}
	}
	return nil, fmt.Errorf("every instance has a fault")
}

// newestEditBefore returns the edit with the highest revision accepted before t.
func (r *run) newestEditBefore(t time.Time) (newest acceptedEdit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.acceptedEdits {
		if a.acceptedAt.Before(t) && a.revision > newest.revision {
			newest = a
		}
	}
	return newest
}
