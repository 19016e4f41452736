package request

import (
	"context"
	"slices"
	"testing"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// forwardTo forwards an idempotent call. send is called for each attempt with the number of earlier
// ones at the same endpoint. It returns the endpoints that were tried.
func forwardTo(t *testing.T, send func(to ident.Address, earlier int) error) (tried []ident.Address, err error) {
	t.Helper()
	p := newSucceedingPipeline()
	defer p.Close()
	p.endpoints.recordFailure("s1", p.now()) // So that s2 is tried first.
	p.Send = func(_ context.Context, to ident.Address, _ endpoint.ServiceCall, _ endpoint.Sink) error {
		earlier := 0
		for _, other := range tried {
			if other == to {
				earlier++
			}
		}
		tried = append(tried, to)
		return send(to, earlier)
	}
	s := openSession(t, p, "/look")
	err = s.Forward(ServiceCall{Method: "GET", Target: "/look"}, endpoint.Sink{})
	s.Close(err)
	return tried, err
}

// errUnreached is the error of an endpoint that did not accept a connection in time.
var errUnreached = fault.New(fault.EndpointTimeout, "the endpoint did not accept a connection in time").WithRan(fault.NotRun)

// TestUnreachedEndpointIsTriedAgain guards against an idempotent call that fails with a sound endpoint
// at hand: the process was paused while it connected to that one, and the other one has failed.
func TestUnreachedEndpointIsTriedAgain(t *testing.T) {
	tried, err := forwardTo(t, func(to ident.Address, earlier int) error {
		switch {
		case to == "s1":
			return fault.New(fault.EndpointFailed, "closed").WithRan(fault.MayHaveRun)
		case earlier == 0:
			return errUnreached
		default:
			return nil
		}
	})
	if want := []ident.Address{"s2", "s1", "s2"}; err != nil || !slices.Equal(tried, want) {
		t.Errorf("tried %v, error %v; want %v without an error", tried, err, want)
	}
}

// TestUnreachableServiceIsRefusedAfterOneRound guards against a call that waits for the same endpoints
// again although none of them accepts connections.
func TestUnreachableServiceIsRefusedAfterOneRound(t *testing.T) {
	tried, err := forwardTo(t, func(ident.Address, int) error { return errUnreached })
	if len(tried) != 2 || !fault.Is(err, fault.NoEndpoint) {
		t.Errorf("tried %v, error %v; want each endpoint once and no endpoint", tried, err)
	}
}
