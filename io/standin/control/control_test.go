package control

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startServer starts a server whose handler responds "ok" and counts how often it
// runs.
func startServer(t *testing.T) (s *Server, runs *atomic.Int32) {
	t.Helper()
	runs = &atomic.Int32{}
	s = NewServer()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(w, "ok")
	})
	if err := s.Start(LoopbackAddresses(), handler); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, runs
}

// get requests path on a new connection and returns the body of the response.
func get(s *Server, path string) (string, error) {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + s.Address() + path)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestRequestFaults(t *testing.T) {
	cases := []struct {
		kind    Kind
		runs    int32 // Runs of the handler for the affected request.
		fails   bool  // The client gets an error.
		timeout bool  // The error is a timeout.
	}{
		{Delay, 1, false, false},
		{FailBefore, 0, true, false},
		{FailDuring, 1, true, false},
		{DropAnswer, 1, true, false},
		{LateAnswer, 1, false, false},
		{NeverAnswer, 0, true, true},
	}
	for _, c := range cases {
		t.Run(c.kind.String(), func(t *testing.T) {
			s, runs := startServer(t)
			client := NewClient(s.ControlAddress())
			f := Fault{Kind: c.kind, Path: "/a", Count: 1, DelayMS: 20}
			if err := client.Inject(t.Context(), f); err != nil {
				t.Fatal(err)
			}
			if body, err := get(s, "/b"); err != nil || body != "ok" {
				t.Errorf("path that the fault does not select: body %q, error %v", body, err)
			}
			_, err := get(s, "/a")
			if (err != nil) != c.fails {
				t.Errorf("err = %v, want failure %v", err, c.fails)
			}
			if os.IsTimeout(err) != c.timeout {
				t.Errorf("err = %v, want timeout %v", err, c.timeout)
			}
			if body, err := get(s, "/a"); err != nil || body != "ok" {
				t.Errorf("after Count requests: body %q, error %v", body, err)
			}
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			if runs.Load() != c.runs+2 {
				t.Errorf("runs = %d, want %d", runs.Load(), c.runs+2)
			}
		})
	}
}

func TestConnectionFaults(t *testing.T) {
	s, _ := startServer(t)
	pooled := &http.Client{Timeout: 300 * time.Millisecond}
	url := "http://" + s.Address() + "/"
	call := func() error {
		response, err := pooled.Get(url)
		if err != nil {
			return err
		}
		_, err = io.ReadAll(response.Body)
		return errors.Join(err, response.Body.Close())
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	if err := s.Inject(Fault{Kind: FreezeConnections}); err != nil {
		t.Fatal(err)
	}
	if err := call(); !os.IsTimeout(err) {
		t.Errorf("frozen connection: err = %v, want a timeout", err)
	}
	if _, err := get(s, "/"); err != nil {
		t.Errorf("new connection after FreezeConnections: %v", err)
	}
	if err := s.Inject(Fault{Kind: Hang}); err != nil {
		t.Fatal(err)
	}
	if _, err := get(s, "/"); !os.IsTimeout(err) {
		t.Errorf("Hang: err = %v, want a timeout", err)
	}
	if err := s.Inject(Fault{Kind: Refuse}); err != nil {
		t.Fatal(err)
	}
	if _, err := get(s, "/"); err == nil || os.IsTimeout(err) {
		t.Errorf("Refuse: err = %v, want a connection reset", err)
	}
	s.Faults.Clear()
	if _, err := get(s, "/"); err != nil {
		t.Errorf("after clearing all faults: %v", err)
	}
}

func TestCaptureSearch(t *testing.T) {
	s, _ := startServer(t)
	client := NewClient(s.ControlAddress())
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	request := "POST /p?query-secret HTTP/1.1\r\nHost: h\r\nX-A: header-secret\r\nContent-Length: 11\r\nConnection: close\r\n\r\nbody-secret"
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(conn); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]bool{"query-secret": true, "header-secret": true, "body-secret": true, "other-secret": false} {
		result, err := client.Received(t.Context(), text)
		if err != nil || result.Seen != want || !result.Complete {
			t.Errorf("search for %s: %+v, %v", text, result, err)
		}
	}
}

func TestFaultDecoding(t *testing.T) {
	invalid := []string{
		`{"Kind":"Nothing"}`,
		`{"Kind":"Delay","Dela":1}`,
		`{"Kind":"Slow"}`,
		`{"Kind":"RateLimit"}`,
		`{"Kind":"Hang","Path":"/a"}`,
		`{"Kind":"Delay","Probability":2}`,
		`{"Kind":"Delay","DelayMS":-1}`,
	}
	for _, text := range invalid {
		var f Fault
		if err := json.NewDecoder(strings.NewReader(text)).Decode(&f); err == nil {
			t.Errorf("%s was accepted", text)
		}
	}
}

func TestProbabilityIsSeeded(t *testing.T) {
	draw := func() string {
		var hits strings.Builder
		faults := NewFaults()
		faults.Add(Fault{Kind: Delay, Probability: 0.5, Seed: 7})
		for range 64 {
			_, hit := faults.Trigger(Delay, RequestInfo{})
			hits.WriteString(map[bool]string{true: "1", false: "0"}[hit])
		}
		return hits.String()
	}
	firstHits := draw()
	if secondHits := draw(); firstHits != secondHits {
		t.Errorf("two sequences with the same seed differ: %s and %s", firstHits, secondHits)
	}
	if n := strings.Count(firstHits, "1"); n < 16 || n > 48 {
		t.Errorf("%d of 64 requests were affected, want about half", n)
	}
}
