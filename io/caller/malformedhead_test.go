package caller

import (
	"testing"

	"monsoonfork/io/standin/control"
)

// malformedCalls is more than the number of malformed lines that the stand-ins send in turn.
const malformedCalls = 16

// TestMalformedAnswerReachesNoCaller makes every endpoint send malformed heads. Each caller must get an
// error that says that its call may have run, and a call that may run only once must not run again.
func TestMalformedAnswerReachesNoCaller(t *testing.T) {
	r := newTestServer(t)
	r.inject(control.Fault{Kind: control.MalformHead})
	for _, e := range append(r.prefill, r.decode...) {
		if err := e.Inject(control.Fault{Kind: control.MalformHead, Path: "/v1/completions"}); err != nil {
			t.Fatal(err)
		}
	}
	for n := range malformedCalls {
		reference := "r" + itoa(n)
		checkBadGateway(t, r.do("POST", "/bookings", `{"reference":"`+reference+`"}`))
		if n := r.runCount(reference); n != 1 {
			t.Errorf("%s ran %d times", reference, n)
		}
		checkBadGateway(t, r.do("GET", "/addresses/x", ""))
	}
	checkBadGateway(t, r.do("POST", "/v1/completions", completionBody("a b", 5, false)))
	checkBadGateway(t, r.do("POST", "/v1/completions", completionBody("a b", 5, true)))
}

// checkBadGateway checks that a caller got an error of the router in place of a malformed answer.
func checkBadGateway(t *testing.T, a testResponse) {
	t.Helper()
	if a.status != 502 || a.header.Get(control.MalformedHeader) != "" {
		t.Errorf("got %d %v %s", a.status, a.header, a.body)
		return
	}
	if f := a.errorDetail(t); f.Ran != "may have run" || f.Message == "" {
		t.Errorf("got %+v", f)
	}
}
