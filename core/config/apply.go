package config

import (
	"context"
	"encoding/json"
	"regexp"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
	"monsoonfork/core/text"
)

// readBackInterval is the delay before the store is called again after a failed
// call or a write with an unknown outcome.
const readBackInterval = 200 * time.Millisecond

// maxEditIDLength is the maximum length of an edit id, in bytes.
const maxEditIDLength = 64

// editIDPattern matches valid edit ids. An edit id is part of a store key.
var editIDPattern = regexp.MustCompile(`^[A-Za-z0-9-]+$`)

// Applier writes new revisions of the configuration text to the store.
type Applier struct {
	Store  *keyvalue.Client
	Holder *Holder
	Now    func() time.Time
}

// ApplyResult is the result of an edit that was accepted.
type ApplyResult struct {
	Revision ident.Revision
	EditID   string
	Digest   string
	Repeated bool // True if an earlier call had already applied the edit.
}

// Apply stores raw as the next revision after base. It is idempotent: a
// repeated call with the same edit id returns the outcome of that edit. Errors
// have kind BadText, BadRequest, RevisionConflict, StoreUnavailable (not
// accepted) or OutcomeUnknown.
func (a *Applier) Apply(ctx context.Context, raw []byte, base ident.Revision, editID string) (ApplyResult, error) {
	if len(editID) > maxEditIDLength || !editIDPattern.MatchString(editID) {
		return ApplyResult{}, fault.New(fault.BadRequest, "%q is not an edit id; use letters, digits and '-'", editID)
	}
	if _, err := text.ParseValid(raw); err != nil {
		return ApplyResult{}, err
	}
	if err := a.storeText(ctx, editID, raw); err != nil {
		return ApplyResult{}, err
	}
	// outcomeUnknown is set once a write was sent whose result is not known, as
	// that write may still take effect.
	outcomeUnknown := false
	for {
		accepted, done, err := a.tryApply(ctx, raw, base, editID, &outcomeUnknown)
		if done {
			return accepted, err
		}
		select {
		case <-time.After(readBackInterval):
		case <-ctx.Done():
			return ApplyResult{}, timeoutError(outcomeUnknown, editID, err)
		}
	}
}

// timeoutError returns the error of an edit whose context has ended. Its kind
// depends on whether a write may have taken effect.
func timeoutError(outcomeUnknown bool, editID string, lastErr error) error {
	if outcomeUnknown {
		return fault.Wrap(lastErr, fault.OutcomeUnknown,
			"edit %s may have been accepted: the store's response was lost; apply it again with the same edit id to learn the outcome", editID)
	}
	return fault.Wrap(lastErr, fault.StoreUnavailable, "edit %s was not accepted: the store does not respond", editID)
}

// tryApply reads the head and replaces it by compare-and-swap, unless the edit
// is already accepted or conflicts with another one. done is false if the head
// must be read again to determine the outcome.
//
// After a lost response, the swap is repeated only if the head still has the
// ModifyIndex that the lost swap expected. If the head has changed, the lost
// swap has taken effect or has failed. In both cases at most one of the swaps
// takes effect.
func (a *Applier) tryApply(ctx context.Context, raw []byte, base ident.Revision, editID string, outcomeUnknown *bool) (_ ApplyResult, done bool, _ error) {
	stored, err := ReadHead(ctx, a.Store)
	if err != nil {
		return ApplyResult{}, false, err
	}
	if edit, found := stored.Head.findEdit(editID); found {
		return a.completeEdit(stored.Head, edit, raw)
	}
	current := max(stored.Head.Revision, a.Holder.Revision())
	if current != base {
		return ApplyResult{}, true, a.conflictError(ctx, stored.Head, current, base, raw)
	}
	digest := textDigest(raw)
	next, dropped := stored.Head.withEdit(editID, digest, current+1)
	value, err := json.Marshal(next)
	if err != nil {
		return ApplyResult{}, true, fault.Wrap(err, fault.Internal, "encode the head")
	}
	outcome, err := a.Store.CompareAndSwap(ctx, HeadKey, value, stored.ModifyIndex)
	switch outcome {
	case keyvalue.Written:
		a.deleteTexts(ctx, dropped)
		return a.completeEdit(next, Edit{editID, next.Revision}, raw)
	case keyvalue.Unknown:
		*outcomeUnknown = true
	case keyvalue.Conflict, keyvalue.NotWritten:
	}
	return ApplyResult{}, false, err
}

// completeEdit returns the result of an accepted edit. If the edit is the newest
// one, it also offers its snapshot to the holder of this process.
func (a *Applier) completeEdit(h Head, edit Edit, raw []byte) (ApplyResult, bool, error) {
	accepted := ApplyResult{Revision: edit.Revision, EditID: edit.ID, Digest: textDigest(raw)}
	if h.NewestEditID() != edit.ID {
		accepted.Repeated = true
		return accepted, true, nil
	}
	if h.Digest != accepted.Digest {
		return ApplyResult{}, true, fault.New(fault.RevisionConflict, "edit id %s was used for another text, revision %d", edit.ID, edit.Revision)
	}
	accepted.Repeated = a.Holder.Revision() >= edit.Revision
	s, err := NewSnapshot(edit.Revision, edit.ID, raw, a.Now())
	if err != nil {
		return ApplyResult{}, true, err
	}
	a.Holder.Update(s)
	return accepted, true, nil
}

// conflictError returns an error of kind RevisionConflict with the line
// difference between the current text and raw.
func (a *Applier) conflictError(ctx context.Context, h Head, current, base ident.Revision, raw []byte) error {
	if current == 0 {
		return fault.New(fault.RevisionConflict, "there is no revision yet, your edit is based on %d; use base 0", base)
	}
	newest := a.Holder.Current()
	if h.Revision == current && (newest == nil || newest.Revision < current) {
		s, err := ReadSnapshot(ctx, a.Store, h, a.Now())
		if err != nil {
			return fault.Wrap(err, fault.RevisionConflict, "the text is at revision %d, your edit is based on %d", current, base)
		}
		newest = s
	}
	return fault.New(fault.RevisionConflict,
		"the text is at revision %d, your edit is based on %d; from revision %d to your text:\n%s",
		current, base, newest.Revision, Difference(string(newest.Raw), string(raw)))
}

// storeText writes the text of an edit under its own key, before the head
// refers to it. Repeating the write is safe, since an edit id always stands for
// the same text.
func (a *Applier) storeText(ctx context.Context, editID string, raw []byte) error {
	packed, err := Pack(raw)
	if err != nil {
		return err
	}
	for {
		outcome, err := a.Store.CompareAndSwap(ctx, textPrefix+editID, packed, 0)
		if outcome == keyvalue.Written {
			return nil
		}
		if outcome == keyvalue.Conflict {
			return a.checkStoredText(ctx, editID, raw)
		}
		select {
		case <-time.After(readBackInterval):
		case <-ctx.Done():
			return timeoutError(false, editID, err)
		}
	}
}

// checkStoredText returns an error of kind RevisionConflict if the text stored
// under the edit id differs from raw.
func (a *Applier) checkStoredText(ctx context.Context, editID string, raw []byte) error {
	l, err := a.Store.Get(ctx, textPrefix+editID)
	if err != nil {
		return timeoutError(false, editID, err)
	}
	e, _ := l.FirstEntry()
	stored, err := Unpack(e.Value)
	if err != nil || textDigest(stored) != textDigest(raw) {
		return fault.New(fault.RevisionConflict, "edit id %s was used for another text", editID)
	}
	return nil
}

// deleteTexts deletes the texts of edits that the head no longer lists. Errors
// are ignored: a text that remains only takes up space in the store.
func (a *Applier) deleteTexts(ctx context.Context, dropped []Edit) {
	for _, edit := range dropped {
		l, err := a.Store.Get(ctx, textPrefix+edit.ID)
		if err != nil {
			return
		}
		if e, found := l.FirstEntry(); found {
			_, _ = a.Store.Delete(ctx, textPrefix+edit.ID, e.ModifyIndex)
		}
	}
}
