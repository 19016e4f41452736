package reporting

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/contain"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// TestPanicInExchangeEndsOnlyTheRound guards against a panic that ends the process in the
// goroutine of one exchange, where no boundary around the loop reaches it.
func TestPanicInExchangeEndsOnlyTheRound(t *testing.T) {
	table := membership.NewTable(membership.Member{ID: "a-1", Domain: "a"}, log.NewNopLogger(), time.Now)
	table.RecordHeartbeat(membership.Member{ID: "b-1", Domain: "b"})
	r := &Reporter{
		View: table.View, CollectorKey: "k", CallTimeout: time.Second, Log: log.NewNopLogger(),
		Report:   func(context.Context, ident.InstanceID) error { return nil },
		Exchange: func(context.Context, ident.DomainID, ident.InstanceID) error { panic("odd reply") },
	}
	p := contain.Call(func() { _, _ = r.RunOnce(t.Context()) })
	if p == nil || p.Cause != "odd reply" || !strings.Contains(p.Stack, "reporting_test.go") {
		t.Errorf("panic %+v, want that of the exchange", p)
	}
}
