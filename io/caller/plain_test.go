package caller

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoonfork/io/standin/control"
)

// runCount returns how often the services ran a booking with the reference.
func (r *testServer) runCount(reference string) int {
	n := 0
	for _, s := range r.services {
		for _, run := range s.Record().Runs {
			if run.Reference == reference {
				n++
			}
		}
	}
	return n
}

// inject activates a fault at every service.
func (r *testServer) inject(f control.Fault) {
	r.t.Helper()
	for _, s := range r.services {
		if err := s.Inject(f); err != nil {
			r.t.Fatal(err)
		}
	}
}

// clear removes the faults of every service.
func (r *testServer) clear() {
	for _, s := range r.services {
		s.Clear()
	}
}

func TestPlainCalls(t *testing.T) {
	r := newTestServer(t)
	if a := r.do("POST", "/bookings", `{"reference":"r1"}`, "Content-Type", "application/json"); a.status/100 != 2 || !strings.Contains(a.body, "r1") {
		t.Errorf("booking: %d %s", a.status, a.body)
	}
	if a := r.do("GET", "/addresses/x1", ""); a.status != 200 || !strings.Contains(a.body, "x1") {
		t.Errorf("look-up: %d %s", a.status, a.body)
	}
	if a := r.do("GET", "/status", "", "Authorization", ""); a.status != 200 {
		t.Errorf("open route: %d %s", a.status, a.body)
	}
	if a := r.do("HEAD", "/status", "", "Authorization", ""); a.status != 200 || a.body != "" {
		t.Errorf("HEAD: %d %q", a.status, a.body)
	}
}

// TestAPIKeyIsNotForwarded puts the API key in every part of a request. No endpoint may
// receive it.
func TestAPIKeyIsNotForwarded(t *testing.T) {
	r := newTestServer(t)
	for _, route := range []string{"/status", "/addresses/a", "/v1/completions"} {
		method, body := "GET", ""
		if route == "/v1/completions" {
			method, body = "POST", completionBody("a b", 3, false)
		}
		target := route + "?api_key=" + testKey + "&x=1&key=" + testKey + "&access_token=zz&other=" + testKey + "&esc=%6d" + testKey[1:]
		a := r.do(method, target, body,
			"X-Api-Key", testKey, "Proxy-Authorization", "Bearer "+testKey, "X-Other", "it is "+testKey,
			"Cookie", "a=1; access_token="+testKey+"; other="+testKey+"; b=2",
			"Connection", "X-Hop", "X-Hop", "1", "Te", "trailers")
		if a.status != 200 {
			t.Errorf("%s: %d %s", route, a.status, a.body)
		}
	}
	if a := r.do("POST", "/bookings", `{"reference":"`+testKey+`"}`); a.status != 400 {
		t.Errorf("key in a body: %d", a.status)
	}
	for _, s := range r.services {
		for _, text := range []string{testKey, testKey[1:], "X-Hop", "Te:", "access_token"} {
			if s.Received(text).Seen {
				t.Errorf("a service received %q", text)
			}
		}
	}
	for _, e := range append(r.prefill, r.decode...) {
		if e.Received(testKey).Seen || e.Received(testKey[1:]).Seen || e.Received("Authorization").Seen {
			t.Error("an engine received the API key")
		}
	}
	otherValuesForwarded := false
	for _, s := range r.services {
		otherValuesForwarded = otherValuesForwarded || s.Received("x=1").Seen && s.Received("a=1; b=2").Seen
	}
	if !otherValuesForwarded {
		t.Error("the other query parameters and cookies were not forwarded")
	}
}

// TestNonIdempotentCallRunsAtMostOnce makes the endpoint fail at each stage of a call that
// must not be retried. The call must run at most once, also after the caller repeats it
// with the same Idempotency-Key, and must not have run if the error says "not run".
func TestNonIdempotentCallRunsAtMostOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		fault control.Fault
		ran   string
		runs  int
	}{
		"refused":               {control.Fault{Kind: control.Refuse}, "", 0},
		"failed before":         {control.Fault{Kind: control.FailBefore}, "may have run", 0},
		"failed during":         {control.Fault{Kind: control.FailDuring, DelayMS: 1}, "may have run", 1},
		"response lost":         {control.Fault{Kind: control.DropAnswer}, "may have run", 1},
		"malformed head":        {control.Fault{Kind: control.MalformHead}, "may have run", 1},
		"no response":           {control.Fault{Kind: control.NeverAnswer}, "may have run", 0},
		"id of another request": {control.Fault{Kind: control.CrossAnswer}, "may have run", -1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestServer(t)
			r.inject(tc.fault)
			a := r.do("POST", "/bookings", `{"reference":"r1"}`, "Idempotency-Key", "k1")
			if a.status < 400 {
				if tc.fault.Kind != control.CrossAnswer {
					t.Fatalf("got %d %s", a.status, a.body)
				}
				return // A plain service is not required to echo the id, so its response is accepted.
			}
			f := a.errorDetail(t)
			if tc.ran != "" && f.Ran != tc.ran {
				t.Errorf("ran = %q, want %q", f.Ran, tc.ran)
			}
			time.Sleep(50 * time.Millisecond)
			if n := r.runCount("r1"); n > 1 || (f.Ran == "not run" && n > 0) {
				t.Errorf("ran %d times, reported %q", n, f.Ran)
			}
			r.clear()
			again := r.do("POST", "/bookings", `{"reference":"r1"}`, "Idempotency-Key", "k1")
			if n := r.runCount("r1"); n > 1 {
				t.Errorf("ran %d times after the repetition, which got status %d", n, again.status)
			}
		})
	}
}

func TestRepeatedCallGetsRecordedResponse(t *testing.T) {
	r := newTestServer(t)
	first := r.do("POST", "/bookings", `{"reference":"r1"}`, "Idempotency-Key", "k1")
	second := r.do("POST", "/bookings", `{"reference":"r1"}`, "Idempotency-Key", "k1")
	if first.status != second.status || first.body != second.body || r.runCount("r1") != 1 {
		t.Errorf("first %d %s, second %d %s, runs %d", first.status, first.body, second.status, second.body, r.runCount("r1"))
	}
	if second.header.Get("Idempotent-Replayed") != "true" {
		t.Error("the second response is not marked as replayed")
	}
}

// TestCallCompletesAfterCallerDisconnects disconnects during a non-idempotent call. The
// call must run to its end, and a repetition with the same Idempotency-Key must get the
// recorded response.
func TestCallCompletesAfterCallerDisconnects(t *testing.T) {
	r := newTestServer(t)
	r.inject(control.Fault{Kind: control.LateAnswer, DelayMS: 500})
	body := `{"reference":"r1"}`
	got := r.rawExchange(t, "POST /bookings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+"\r\nIdempotency-Key: k1\r\nContent-Type: application/json\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
	if !strings.HasPrefix(got, "HTTP/1.1 2") {
		t.Fatalf("got %q", got)
	}
	r.clear()
	r.inject(control.Fault{Kind: control.LateAnswer, DelayMS: 1000})
	ctx, cancel := contextWithTimeout(200 * time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+"/bookings", strings.NewReader(`{"reference":"r2"}`))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+testKey)
	q.Header.Set("Idempotency-Key", "k2")
	if res, err := http.DefaultClient.Do(q); err == nil {
		_ = res.Body.Close()
		t.Fatal("the call returned before the caller disconnected")
	}
	eventually(t, "the response is recorded", 5*time.Second, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.claims["k2"] != nil
	})
	r.clear()
	if a := r.do("POST", "/bookings", `{"reference":"r2"}`, "Idempotency-Key", "k2"); a.status/100 != 2 || r.runCount("r2") != 1 {
		t.Errorf("repetition: %d %s, %d runs", a.status, a.body, r.runCount("r2"))
	}
}

// TestIdempotentCallsFailOver checks that idempotent calls are retried at another endpoint
// when one fails.
func TestIdempotentCallsFailOver(t *testing.T) {
	r := newTestServer(t)
	for _, kind := range []control.Kind{control.Refuse, control.FailBefore, control.DropAnswer, control.MalformHead} {
		if err := r.services[0].Inject(control.Fault{Kind: kind}); err != nil {
			t.Fatal(err)
		}
		for range 6 {
			if a := r.do("GET", "/addresses/x", ""); a.status != 200 || a.header.Get(control.MalformedHeader) != "" {
				t.Errorf("%v: %d %s", kind, a.status, a.body)
			}
		}
		r.services[0].Clear()
	}
}

// TestCallsSucceedAfterConnectionsFreeze freezes the open connections to the services, as
// when a middlebox loses their state and drops all packets. Later calls must succeed on
// new connections.
func TestCallsSucceedAfterConnectionsFreeze(t *testing.T) {
	r := newTestServer(t)
	for i := range 5 {
		if a := r.do("POST", "/bookings", `{"reference":"a`+itoa(i)+`"}`); a.status/100 != 2 {
			t.Fatalf("before the freeze: %d %s", a.status, a.body)
		}
	}
	r.inject(control.Fault{Kind: control.FreezeConnections})
	for i := range 5 {
		if a := r.do("POST", "/bookings", `{"reference":"b`+itoa(i)+`"}`); a.status/100 != 2 {
			t.Errorf("after the freeze: %d %s", a.status, a.body)
		}
	}
}

func TestLeavingEndpointsGetNoCalls(t *testing.T) {
	r := newTestServer(t)
	r.applyConfig(2, strings.Replace(r.configText, "{Name: s1,", "{Name: s1, State: Leaving,", 1))
	for range 10 {
		r.do("GET", "/status", "")
	}
	if n := len(r.services[0].Record().Runs); n != 0 {
		t.Errorf("a leaving endpoint received %d calls", n)
	}
}

func TestCallWithoutEndpointIsNotRun(t *testing.T) {
	r := newTestServer(t)
	for _, s := range r.services {
		_ = s.Close()
	}
	a := r.do("POST", "/bookings", `{"reference":"r1"}`, "Idempotency-Key", "k1")
	if f := a.errorDetail(t); a.status != 503 || f.Type != "no_endpoint" || f.Ran != "not run" || a.header.Get("Retry-After") == "" {
		t.Errorf("got %d %+v", a.status, f)
	}
	if _, claimed := r.claims["k1"]; claimed {
		t.Error("the claim of a call that did not run was not released")
	}
}
