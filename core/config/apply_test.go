package config

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/io/standin/control"
	standin "monsoonfork/io/standin/store"
	"monsoonfork/io/store"
)

// smallText returns a valid text with one domain.
func smallText(domain string) []byte {
	return []byte("Domains: [" + domain + "]\n")
}

// newApplier starts a stand-in store and returns an applier for it.
func newApplier(t *testing.T) (*Applier, *standin.Store) {
	t.Helper()
	s := standin.New()
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return newApplierFor(t, s), s
}

// newApplierFor returns an applier for s with a holder of its own, as in a daemon that
// another operator uses.
func newApplierFor(t *testing.T, s *standin.Store) *Applier {
	t.Helper()
	c, err := store.New([]ident.Address{ident.Address(s.Address())}, store.WithCallTimeout(300*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &Applier{Store: c.KeyValue(), Holder: NewHolder(), Now: time.Now}
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// mustApply applies an edit and fails the test if it does not become revision
// base+1.
func mustApply(t *testing.T, a *Applier, raw []byte, base ident.Revision, edit string) {
	t.Helper()
	got, err := a.Apply(contextWithTimeout(t, 5*time.Second), raw, base, edit)
	if err != nil || got.Revision != base+1 {
		t.Fatalf("Apply(base %d, %s) = %+v, %v", base, edit, got, err)
	}
}

func TestApplyAndRead(t *testing.T) {
	a, _ := newApplier(t)
	mustApply(t, a, smallText("north"), 0, "edit-1")
	mustApply(t, a, smallText("south"), 1, "edit-2")
	stored, err := ReadHead(contextWithTimeout(t, time.Second), a.Store)
	if err != nil || stored.Head.Revision != 2 {
		t.Fatalf("head = %+v, %v", stored.Head, err)
	}
	s, err := ReadSnapshot(contextWithTimeout(t, time.Second), a.Store, stored.Head, time.Now())
	if err != nil || string(s.Raw) != string(smallText("south")) || s.EditID != "edit-2" {
		t.Errorf("snapshot = %+v, %v", s, err)
	}
	if got := a.Holder.Revision(); got != 2 {
		t.Errorf("revision in the holder = %d, want 2", got)
	}
}

func TestInvalidEditsAreRejected(t *testing.T) {
	a, _ := newApplier(t)
	_, err := a.Apply(contextWithTimeout(t, time.Second), []byte("Domains: []\n"), 0, "edit-1")
	if !fault.Is(err, fault.BadText) {
		t.Errorf("error = %v, want kind BadText", err)
	}
	for _, id := range []string{"", "a/b", "a b", strings.Repeat("x", 65)} {
		if _, err := a.Apply(contextWithTimeout(t, time.Second), smallText("north"), 0, id); !fault.Is(err, fault.BadRequest) {
			t.Errorf("edit id %q: error = %v, want kind BadRequest", id, err)
		}
	}
	if stored, _ := ReadHead(contextWithTimeout(t, time.Second), a.Store); stored.Head.Revision != 0 {
		t.Errorf("head = %+v, want none", stored.Head)
	}
}

// TestStaleBaseIsRejectedWithDifference checks that an edit of any revision but
// the current one fails with the line difference to the current text.
func TestStaleBaseIsRejectedWithDifference(t *testing.T) {
	a, s := newApplier(t)
	mustApply(t, a, smallText("north"), 0, "edit-1")
	other := newApplierFor(t, s)
	for _, base := range []ident.Revision{0, 2, 7} {
		_, err := other.Apply(contextWithTimeout(t, time.Second), smallText("south"), base, fmt.Sprintf("edit-b%d", base))
		if !fault.Is(err, fault.RevisionConflict) {
			t.Fatalf("base %d: error = %v, want kind RevisionConflict", base, err)
		}
		for _, want := range []string{"revision 1", "-    1  Domains: [north]", "+    1  Domains: [south]"} {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("error lacks %q: %v", want, err)
			}
		}
	}
}

// TestConcurrentEditsOfOneRevision checks that exactly one of many concurrent
// edits of the same revision is accepted.
func TestConcurrentEditsOfOneRevision(t *testing.T) {
	first, s := newApplier(t)
	mustApply(t, first, smallText("north"), 0, "edit-0")
	const operators = 8
	var wg sync.WaitGroup
	results := make([]error, operators)
	for i := range operators {
		a := newApplierFor(t, s)
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, results[i] = a.Apply(context.Background(), smallText(fmt.Sprintf("d%d", i)), 1, fmt.Sprintf("race-%d", i))
		}()
	}
	wg.Wait()
	accepted := 0
	for _, err := range results {
		switch {
		case err == nil:
			accepted++
		case !fault.Is(err, fault.RevisionConflict):
			t.Errorf("error = %v, want kind RevisionConflict", err)
		}
	}
	stored, err := ReadHead(contextWithTimeout(t, time.Second), first.Store)
	if accepted != 1 || err != nil || stored.Head.Revision != 2 {
		t.Errorf("%d edits accepted, head %+v, %v; want one edit and revision 2", accepted, stored.Head, err)
	}
}

// TestLostResponseIsReadBack drops the response to the compare-and-swap of the
// head. The edit must be accepted once and reported as accepted.
func TestLostResponseIsReadBack(t *testing.T) {
	a, s := newApplier(t)
	mustApply(t, a, smallText("north"), 0, "edit-1")
	if err := s.Inject(control.Fault{Kind: control.DropAnswer, Method: http.MethodPut, Path: "/v1/kv/" + HeadKey, Count: 1}); err != nil {
		t.Fatal(err)
	}
	mustApply(t, a, smallText("south"), 1, "edit-2")
	stored, _ := ReadHead(contextWithTimeout(t, time.Second), a.Store)
	if stored.Head.Revision != 2 || len(stored.Head.Edits) != 2 {
		t.Errorf("head = %+v, want one new revision", stored.Head)
	}
}

// TestLostResponseThenOutage drops the response to the compare-and-swap and then
// makes the store refuse connections, so that the outcome cannot be read back.
// An error must have kind OutcomeUnknown. Applying the same edit id later must
// return the outcome without creating a second revision.
func TestLostResponseThenOutage(t *testing.T) {
	a, s := newApplier(t)
	mustApply(t, a, smallText("north"), 0, "edit-1")
	for _, f := range []control.Fault{
		{Kind: control.DropAnswer, Method: http.MethodPut, Path: "/v1/kv/" + HeadKey},
	} {
		if err := s.Inject(f); err != nil {
			t.Fatal(err)
		}
	}
	go func() {
		for s.Record().Calls[standin.CompareAndSwap] < 4 {
			time.Sleep(time.Millisecond)
		}
		_ = s.Inject(control.Fault{Kind: control.Refuse})
	}()
	_, err := a.Apply(contextWithTimeout(t, 2*time.Second), smallText("south"), 1, "edit-2")
	if err != nil && !fault.Is(err, fault.OutcomeUnknown) {
		t.Fatalf("error = %v, want kind OutcomeUnknown", err)
	}
	s.Clear()
	got, err := a.Apply(contextWithTimeout(t, 2*time.Second), smallText("south"), 1, "edit-2")
	if err != nil || got.Revision != 2 {
		t.Errorf("repeated edit = %+v, %v, want revision 2", got, err)
	}
	mustApply(t, a, smallText("west"), 2, "edit-3")
}

func TestStoreDown(t *testing.T) {
	a, s := newApplier(t)
	_ = s.Close()
	_, err := a.Apply(contextWithTimeout(t, 500*time.Millisecond), smallText("north"), 0, "edit-1")
	if !fault.Is(err, fault.StoreUnavailable) || fault.From(err).Ran != fault.NotRun {
		t.Errorf("error = %v, want kind StoreUnavailable, not run", err)
	}
}

func TestRepeatedEdit(t *testing.T) {
	a, _ := newApplier(t)
	mustApply(t, a, smallText("north"), 0, "edit-1")
	got, err := a.Apply(contextWithTimeout(t, time.Second), smallText("north"), 0, "edit-1")
	if err != nil || got.Revision != 1 || !got.Repeated {
		t.Errorf("repeated edit = %+v, %v", got, err)
	}
	if _, err := a.Apply(contextWithTimeout(t, time.Second), smallText("south"), 0, "edit-1"); !fault.Is(err, fault.RevisionConflict) {
		t.Errorf("same edit id with another text: %v, want kind RevisionConflict", err)
	}
	mustApply(t, a, smallText("south"), 1, "edit-2")
	got, err = a.Apply(contextWithTimeout(t, time.Second), smallText("north"), 0, "edit-1")
	if err != nil || got.Revision != 1 || a.Holder.Revision() != 2 {
		t.Errorf("repeated older edit = %+v, %v, holder at revision %d", got, err, a.Holder.Revision())
	}
}

// TestOldTextsAreDeletedFromStore applies more edits than the head lists.
func TestOldTextsAreDeletedFromStore(t *testing.T) {
	a, _ := newApplier(t)
	for i := range maxHeadEdits + 3 {
		mustApply(t, a, smallText(fmt.Sprintf("d%d", i)), ident.Revision(i), fmt.Sprintf("edit-%d", i))
	}
	l, err := a.Store.List(contextWithTimeout(t, time.Second), textPrefix)
	if err != nil || len(l.Entries) != maxHeadEdits {
		t.Errorf("%d texts in the store, %v; want %d", len(l.Entries), err, maxHeadEdits)
	}
}

// TestRevisionsContinueAfterStoreLoss applies an edit to an empty store while the
// holder has revision 7, as after the loss of the store's data. The new revision
// must be higher than the one in the holder.
func TestRevisionsContinueAfterStoreLoss(t *testing.T) {
	a, _ := newApplier(t)
	s, err := NewSnapshot(7, "before", smallText("north"), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	a.Holder.Update(s)
	mustApply(t, a, smallText("south"), 7, "edit-8")
	if stored, _ := ReadHead(contextWithTimeout(t, time.Second), a.Store); stored.Head.Revision != 8 {
		t.Errorf("head = %+v, want revision 8", stored.Head)
	}
}

func TestMalformedHeads(t *testing.T) {
	for _, value := range []string{"", "{", `{"Revision":0}`, `{"Revision":3,"Edits":[{"ID":"a","Revision":2}]}`, `[]`} {
		if _, err := DecodeHead([]byte(value)); !fault.Is(err, fault.StoreUnavailable) {
			t.Errorf("DecodeHead(%q): %v", value, err)
		}
	}
	bomb, err := Pack(make([]byte, 20<<20))
	if err != nil {
		t.Fatal(err)
	}
	for _, packed := range [][]byte{nil, []byte("text"), bomb, bomb[:20]} {
		if _, err := Unpack(packed); !fault.Is(err, fault.BadText) {
			t.Errorf("Unpack of %d bytes: %v", len(packed), err)
		}
	}
}
