package service

import (
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"monsoonfork/io/standin/control"
)

// sendRequest sends a request with the given X-Request-Id and returns the status of
// the response, or 0 if there was none.
func sendRequest(t *testing.T, s *Service, method, path, id, body string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Request-Id", id)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func TestEveryExecutionIsCounted(t *testing.T) {
	s := New()
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	if err := s.Inject(control.Fault{Kind: control.DropAnswer, Path: "/bookings", Count: 1}); err != nil {
		t.Fatal(err)
	}
	const booking = `{"reference":"r1","client":"c"}`
	if status := sendRequest(t, s, http.MethodPost, "/bookings", "q1", booking); status != 0 {
		t.Errorf("status %d, want a dropped response", status)
	}
	if status := sendRequest(t, s, http.MethodPost, "/bookings", "q2", booking); status != http.StatusCreated {
		t.Errorf("status %d", status)
	}
	if status := sendRequest(t, s, http.MethodDelete, "/bookings/service-1", "q3", ""); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if status := sendRequest(t, s, http.MethodGet, "/status", "q4", ""); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if status := sendRequest(t, s, http.MethodGet, "/addresses/7", "q5", ""); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	r := s.Record()
	if r.ByReference["POST r1"] != 2 || r.ByReference["DELETE service-1"] != 1 {
		t.Errorf("runs by reference: %v", r.ByReference)
	}
	for _, id := range []string{"q1", "q2", "q3", "q4", "q5"} {
		if r.ByRequestID[id] != 1 {
			t.Errorf("request %s ran %d times, want 1", id, r.ByRequestID[id])
		}
	}
}

func TestRunLogSurvivesRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "runs")
	for n := 1; n <= 2; n++ {
		s := New(WithRunLog(path))
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		if status := sendRequest(t, s, http.MethodPost, "/orders", "q", `{"reference":"r1"}`); status != http.StatusCreated {
			t.Errorf("status %d", status)
		}
		if got := s.Record().ByReference["POST r1"]; got != n {
			t.Errorf("%d runs, want %d", got, n)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
