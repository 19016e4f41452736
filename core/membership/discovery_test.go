package membership

import (
	"testing"
	"time"

	"github.com/go-kit/log"
)

// TestFirstRoundsOfDiscoveryFollowQuickly guards against a start of all instances that takes seconds:
// each finds the first peers not yet listening and looks for them again only a second later.
func TestFirstRoundsOfDiscoveryFollowQuickly(t *testing.T) {
	s := &Service{Table: NewTable(memberNumber(0), log.NewNopLogger(), time.Now)}
	if got := s.discoveryPause(0); got != firstRoundInterval {
		t.Errorf("pause %v without other members, want %v", got, firstRoundInterval)
	}
	if got := s.discoveryPause(firstRounds); got != discoveryInterval {
		t.Errorf("pause %v after the first rounds, want %v", got, discoveryInterval)
	}
	s.Table.AddUnconfirmed(memberNumber(1))
	if got := s.discoveryPause(0); got != discoveryInterval {
		t.Errorf("pause %v with another member, want %v", got, discoveryInterval)
	}
}
