package replication

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/membership"
)

// TestCatchUpWithoutLiveMembers guards against a panic, which ends the process with all its
// requests: an instance that stops while much of the list is missing is not live itself, and
// its domain may have no other live member.
func TestCatchUpWithoutLiveMembers(_ *testing.T) {
	table := membership.NewTable(membership.Member{ID: "a-1", Domain: "a"}, log.NewNopLogger(), time.Now)
	table.SetLeaving()
	s := &Replicator{incomplete: true}
	s.catchUp(context.Background(), table.View())
}
