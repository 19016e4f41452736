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
			t.Errorf("cut: %v, want a time-out", err)
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
