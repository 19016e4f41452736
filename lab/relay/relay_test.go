package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"
)

func TestCutAndHeal(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	r, err := New(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	pooled := &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{}}
	call := func() error {
		response, err := pooled.Get("http://" + r.Address())
		if err != nil {
			return err
		}
		_, _ = io.ReadAll(response.Body)
		return response.Body.Close()
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	r.Cut()
	for range 2 {
		if err := call(); !os.IsTimeout(err) {
			t.Errorf("cut: %v, want a timeout", err)
		}
	}
	r.Heal()
	if err := call(); err != nil {
		t.Errorf("healed: %v", err)
	}
	if err := r.Close(); err != nil {
		t.Error(err)
	}
}

// TestCutResponsesDelayAndReset checks one-way loss, delay and resets.
func TestCutResponsesDelayAndReset(t *testing.T) {
	arrived := make(chan struct{}, 8)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	r, err := New(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	call := func() error {
		response, err := client.Get("http://" + r.Address())
		if err != nil {
			return err
		}
		_, _ = io.ReadAll(response.Body)
		return response.Body.Close()
	}
	r.CutResponses()
	if err := call(); !os.IsTimeout(err) || len(arrived) != 1 {
		t.Errorf("cut one way: %v after %d arrivals, want a timeout after one", err, len(arrived))
	}
	r.Heal()
	const delay = 50 * time.Millisecond
	r.Delay(delay)
	startedAt := time.Now()
	if err := call(); err != nil || time.Since(startedAt) < 2*delay {
		t.Errorf("delayed: %v after %v", err, time.Since(startedAt))
	}
	go func() {
		time.Sleep(delay)
		r.Reset()
	}()
	if err := call(); err == nil || os.IsTimeout(err) {
		t.Errorf("reset: %v, want an error at once", err)
	}
	if err := r.Close(); err != nil {
		t.Error(err)
	}
}
