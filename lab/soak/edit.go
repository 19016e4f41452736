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

// Times of edits.
const (
	editTimeout = 30 * time.Second
	editPause   = 300 * time.Millisecond // Between two tries of an edit.
)

// acceptance is an edit that was accepted.
type acceptance struct {
	revision ident.Revision
	at       time.Time
	raw      []byte
}

// edit changes the text in force as an operator does: it reads the text, changes
// it and applies it on the revision that was read. After a conflict it begins
// anew with a new edit id; after an unknown outcome it asks again with the old.
func (r *run) edit(ctx context.Context, name string, change func(*text.Text)) (acceptance, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	for try := 1; ; try++ {
		a, err := r.editOnce(ctx, fmt.Sprintf("%s-%d", name, try), change)
		if err == nil {
			return a, nil
		}
		if fault.Is(err, fault.BadText) || wait(ctx, editPause) != nil {
			err = fmt.Errorf("edit %s: %w", name, err)
			r.findings.add(EditsAreAccepted, "%v", err)
			return acceptance{}, err
		}
	}
}

// editOnce makes one try of an edit and learns its outcome. On an error the edit
// was not accepted, or ctx has ended before its outcome was known.
func (r *run) editOnce(ctx context.Context, id string, change func(*text.Text)) (acceptance, error) {
	client, err := r.operatorInUse()
	if err != nil {
		return acceptance{}, err
	}
	current, base, err := client.Text(ctx)
	if err != nil {
		return acceptance{}, err
	}
	changed, err := text.ParseValid(current)
	if err != nil {
		return acceptance{}, err
	}
	change(changed)
	raw, err := fleet.Encode(changed)
	if err != nil {
		return acceptance{}, err
	}
	accepted, err := client.Apply(ctx, raw, base, id)
	for fault.Is(err, fault.OutcomeUnknown) && wait(ctx, editPause) == nil {
		if client, err = r.operatorInUse(); err != nil {
			err = fault.Wrap(err, fault.OutcomeUnknown, "edit %s", id)
			continue
		}
		accepted, err = r.applyAgain(ctx, client, raw, base, id)
	}
	if err != nil {
		return acceptance{}, err
	}
	return r.noteAcceptance(accepted, raw, base), nil
}

// applyAgain asks what became of an edit whose outcome is not known.
func (r *run) applyAgain(ctx context.Context, client *operator.Client, raw []byte, base ident.Revision, id string) (config.ApplyResult, error) {
	accepted, err := client.Apply(ctx, raw, base, id)
	if fault.Is(err, fault.StoreUnavailable) || fault.Is(err, fault.PeerUnavailable) {
		// This call was not accepted; what became of the first is still open.
		return accepted, fault.Wrap(err, fault.OutcomeUnknown, "edit %s", id)
	}
	return accepted, err
}

// noteAcceptance keeps an accepted edit. No two edits may become one revision.
func (r *run) noteAcceptance(accepted config.ApplyResult, raw []byte, base ident.Revision) acceptance {
	a := acceptance{revision: accepted.Revision, at: time.Now(), raw: raw}
	r.mu.Lock()
	defer r.mu.Unlock()
	if accepted.Revision != base+1 {
		r.findings.add(EditsAreNotLost, "edit %s on revision %d became revision %d", accepted.EditID, base, accepted.Revision)
	}
	for _, other := range r.accepted {
		if other.revision == a.revision {
			r.findings.add(EditsAreNotLost, "edit %s is a second revision %d", accepted.EditID, a.revision)
		}
	}
	r.accepted = append(r.accepted, a)
	return a
}

// operatorInUse returns a client for an instance that no fault is on.
func (r *run) operatorInUse() (*operator.Client, error) {
	n := int(r.turn.Add(1))
	for k := range r.fleet.Instances {
		i := r.fleet.Instances[(n+k)%len(r.fleet.Instances)]
		if !r.isBusy(i.Name) {
			return operator.NewClient(i.Settings.OperatorAddress), nil
		}
	}
	return nil, fmt.Errorf("a fault is on every instance")
}

// newestBefore returns the newest accepted edit before a time.
func (r *run) newestBefore(t time.Time) (newest acceptance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.accepted {
		if a.at.Before(t) && a.revision > newest.revision {
			newest = a
		}
	}
	return newest
}
