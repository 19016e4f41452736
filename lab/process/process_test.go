package process

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"testing"
	"time"
)

// startStore starts the stand-in of the store and returns the process and the
// address that it prints on its first line.
func startStore(t *testing.T, r *Runner) (*Process, string) {
	t.Helper()
	path, err := r.Build(t.Context(), "monsoonlab")
	if err != nil {
		t.Fatal(err)
	}
	p, err := r.Start(Spec{Name: "store", Path: path, Args: []string{"store"}})
	if err != nil {
		t.Fatal(err)
	}
	line, err := p.FirstLine(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var ready struct{ Address string }
	if err := json.Unmarshal([]byte(line), &ready); err != nil {
		t.Fatal(err)
	}
	return p, ready.Address
}

func TestRunnerCloseKillsProcesses(t *testing.T) {
	r, err := NewRunner()
	if err != nil {
		t.Fatal(err)
	}
	p, address := startStore(t, r)
	if err := p.Pause(); err != nil {
		t.Fatal(err)
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := net.Dial("tcp", address); err == nil {
		t.Error("the address of the process still accepts connections after Close")
	}
	if _, err := os.Stat(r.Dir()); err == nil {
		t.Error("the runner's directory still exists after Close")
	}
}

func TestTerminateIsGraceful(t *testing.T) {
	r, err := NewRunner()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	p, _ := startStore(t, r)
	if u, err := p.Usage(); err != nil || u.ResidentBytes < 1<<20 || u.CPUTime < 0 {
		t.Errorf("usage: %+v, %v", u, err)
	}
	if err := p.Terminate(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := p.Wait(ctx); err != nil {
		t.Errorf("%v: %s", err, p.Log())
	}
}
