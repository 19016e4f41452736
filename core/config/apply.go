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

// readBackPause is the time between two reads for the outcome of a write.
const readBackPause = 200 * time.Millisecond

// maxEditIDLength is the longest edit id, in bytes.
const maxEditIDLength = 64

// editIDPattern is the form of an edit id, which is part of a key.
var editIDPattern = regexp.MustCompile(`^[A-Za-z0-9-]+$`)

// Applier makes new revisions.
type Applier struct {
	Store  *keyvalue.Client
	Holder *Holder
	Now    func() time.Time
}

// Accepted is the answer to an edit that was accepted.
type Accepted struct {
	Revision ident.Revision
	EditID   string
	Digest   string
	Repeated bool // The edit had been accepted by an earlier call.
}

// Apply makes raw the next revision after base. Applying the same edit id once
// more answers what became of it. Errors have kind BadText, BadRequest,
// RevisionConflict, StoreUnavailable (not accepted) or OutcomeUnknown.
func (a *Applier) Apply(ctx context.Context, raw []byte, base ident.Revision, editID string) (Accepted, error) {
	if len(editID) > maxEditIDLength || !editIDPattern.MatchString(editID) {
		return Accepted{}, fault.New(fault.BadRequest, "%q is not an edit id; use letters, digits and '-'", editID)
	}
	if _, err := text.ParseValid(raw); err != nil {
		return Accepted{}, err
	}
	if err := a.storeText(ctx, editID, raw); err != nil {
		return Accepted{}, err
	}
	// unknown is set while a write that was sent may still take effect.
	unknown := false
	for {
		accepted, done, err := a.attempt(ctx, raw, base, editID, &unknown)
		if done {
			return accepted, err
		}
		select {
		case <-time.After(readBackPause):
		case <-ctx.Done():
			return Accepted{}, outcomeOf(unknown, editID, err)
		}
	}
}

// outcomeOf says what is known when the time of an edit is over.
func outcomeOf(unknown bool, editID string, last error) error {
	if unknown {
		return fault.Wrap(last, fault.OutcomeUnknown,
			"edit %s may have been accepted: the store's answer was lost; apply it again with the same edit id to learn it", editID)
	}
	return fault.Wrap(last, fault.StoreUnavailable, "edit %s was not accepted: the store does not answer", editID)
}

// attempt reads the head, and swaps it if the edit is neither accepted nor in
// conflict. done is false when the outcome must be read back.
//
// After a lost answer the swap is only tried again at the index that the lost
// one had, or the head has moved on. Either way at most one of them can take
// effect.
func (a *Applier) attempt(ctx context.Context, raw []byte, base ident.Revision, editID string, unknown *bool) (_ Accepted, done bool, _ error) {
	stored, err := ReadHead(ctx, a.Store)
	if err != nil {
		return Accepted{}, false, err
	}
	if edit, found := stored.Head.find(editID); found {
		return a.take(stored.Head, edit, raw)
	}
	current := max(stored.Head.Revision, a.Holder.Revision())
	if current != base {
		return Accepted{}, true, a.conflict(ctx, stored.Head, current, base, raw)
	}
	digest := digestOf(raw)
	next, dropped := stored.Head.next(editID, digest, current+1)
	value, err := json.Marshal(next)
	if err != nil {
		return Accepted{}, true, fault.Wrap(err, fault.Internal, "encode the head")
	}
	outcome, err := a.Store.CompareAndSwap(ctx, HeadKey, value, stored.Modify)
	switch outcome {
	case keyvalue.Written:
		a.deleteTexts(ctx, dropped)
		return a.take(next, Edit{editID, next.Revision}, raw)
	case keyvalue.Unknown:
		*unknown = true
	case keyvalue.Conflict, keyvalue.NotWritten:
	}
	return Accepted{}, false, err
}

// take answers an accepted edit, and puts it in force here if it is the newest.
func (a *Applier) take(h Head, edit Edit, raw []byte) (Accepted, bool, error) {
	accepted := Accepted{Revision: edit.Revision, EditID: edit.ID, Digest: digestOf(raw)}
	if h.Newest() != edit.ID {
		accepted.Repeated = true
		return accepted, true, nil
	}
	if h.Digest != accepted.Digest {
		return Accepted{}, true, fault.New(fault.RevisionConflict, "edit id %s was used for another text, revision %d", edit.ID, edit.Revision)
	}
	accepted.Repeated = a.Holder.Revision() >= edit.Revision
	s, err := NewSnapshot(edit.Revision, edit.ID, raw, a.Now())
	if err != nil {
		return Accepted{}, true, err
	}
	a.Holder.Offer(s)
	return accepted, true, nil
}

// conflict says what another operator changed meanwhile.
func (a *Applier) conflict(ctx context.Context, h Head, current, base ident.Revision, raw []byte) error {
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

// storeText puts an edit's text under a key of its own, before the head names
// it. Writing it twice does no harm, since the edit id names one text.
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
		case <-time.After(readBackPause):
		case <-ctx.Done():
			return outcomeOf(false, editID, err)
		}
	}
}

// checkStoredText makes sure that the text under an edit id is raw.
func (a *Applier) checkStoredText(ctx context.Context, editID string, raw []byte) error {
	l, err := a.Store.Get(ctx, textPrefix+editID)
	if err != nil {
		return outcomeOf(false, editID, err)
	}
	e, _ := l.First()
	stored, err := Unpack(e.Value)
	if err != nil || digestOf(stored) != digestOf(raw) {
		return fault.New(fault.RevisionConflict, "edit id %s was used for another text", editID)
	}
	return nil
}

// deleteTexts removes the texts of edits that the head no longer names. A text
// that stays because the store does not answer costs space only.
func (a *Applier) deleteTexts(ctx context.Context, dropped []Edit) {
	for _, edit := range dropped {
		l, err := a.Store.Get(ctx, textPrefix+edit.ID)
		if err != nil {
			return
		}
		if e, found := l.First(); found {
			_, _ = a.Store.Delete(ctx, textPrefix+edit.ID, e.ModifyIndex)
		}
	}
}
