package share

import (
	"testing"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// usages returns usages of one organisation.
func usages(tokens int64) []*Usage { return []*Usage{{Organisation: "loud", Tokens: tokens}} }

// TestPartLeavesOutTheSilent wants the part of rates to cover those that are
// heard, and no others.
func TestPartLeavesOutTheSilent(t *testing.T) {
	now := time.Now()
	s := newSums(func() time.Time { return now })
	s.take("a1", "a", 0, usages(0))
	s.take("a2", "a", 0, usages(0))
	s.take("b1", "b", 3, usages(0))
	if got := s.part("a", 10); got != 0.5 {
		t.Errorf("part = %v, want 0.5: two members and three elsewhere, of ten", got)
	}
	now = now.Add(unheardAfter)
	s.take("a1", "a", 0, usages(0))
	if got := s.part("a", 10); got != 0.1 {
		t.Errorf("part = %v, want 0.1 after the others fell silent", got)
	}
}

// TestCountingStartsAtTheFirstWord wants no debt from what was admitted before a
// source was heard of.
func TestCountingStartsAtTheFirstWord(t *testing.T) {
	s := newSums(time.Now)
	s.take("a1", "a", 0, usages(1000))
	s.take("a2", "a", 0, usages(500))
	s.take("a1", "a", 0, usages(1070))
	if got := s.others("a2")[0].GetTokens(); got != 70 {
		t.Errorf("others of a2 = %d, want 70", got)
	}
	if got := s.others("a1")[0].GetTokens(); got != 0 {
		t.Errorf("others of a1 = %d, want 0", got)
	}
}

// TestUnknownOrganisationStartsNoDebt has others admit for an organisation before
// this instance sees a request of it.
func TestUnknownOrganisationStartsNoDebt(t *testing.T) {
	view := membership.NewTable(membership.Member{ID: "a1", Domain: "a"}, nopLogger, time.Now).View
	s := New(view, func() int { return 2 }, nil, nopLogger, time.Now)
	s.heard("c", &ReportReply{Part: 1, Others: usages(1_000_000)})
	s.heard("c", &ReportReply{Part: 1, Others: usages(2_000_000)})
	o := organisation(1000, 1000)
	time.Sleep(20 * time.Millisecond)
	if got := s.Admit(o, ident.Tokens(1)); !got.Granted {
		t.Error("refused for what others had admitted before")
	}
}

// TestReturningSourceStartsNoDebt has a source fall silent and come back: what it
// admitted meanwhile was covered by its own part.
func TestReturningSourceStartsNoDebt(t *testing.T) {
	now := time.Now()
	s := newSums(func() time.Time { return now })
	s.take("a1", "a", 0, nil)
	s.take("b1", "b", 1, nil)
	now = now.Add(unheardAfter / 2)
	s.take("b1", "b", 1, usages(100))
	now = now.Add(2 * unheardAfter)
	s.take("b1", "b", 1, usages(50_100))
	if got := s.others("a1")[0].GetTokens(); got != 100 {
		t.Errorf("others of a1 = %d, want the 100 of before", got)
	}
	now = now.Add(unheardAfter / 2)
	s.take("b1", "b", 1, usages(50_170))
	if got := s.others("a1")[0].GetTokens(); got != 170 {
		t.Errorf("others of a1 = %d, want 170", got)
	}
}
