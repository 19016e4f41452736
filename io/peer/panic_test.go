package peer

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

// TestPanicInHandlerEndsOnlyItsCall guards against a message of another instance that ends the
// process, and again each process that it is sent to.
func TestPanicInHandlerEndsOnlyItsCall(t *testing.T) {
	a, _ := newTestLinks(t, "a-1", "d1")
	b, address := newTestLinks(t, "b-1", "d1")
	link.Handle(b.RoleLinks(), "Test.Panic", func(context.Context, ident.InstanceID, *Hello) (proto.Message, error) { panic("odd message") })
	link.Handle(b.RoleLinks(), "Test.Echo", echo)
	_, err := a.CallAddress(t.Context(), address, "Test.Panic", &Hello{}, &Hello{})
	if e := fault.From(err); !fault.Is(err, fault.Internal) || e.Ran != fault.MayHaveRun {
		t.Errorf("got error %v, want Internal and MayHaveRun", err)
	}
	checkEcho(t, a, address)
}
