package process

import (
	"net"
	"os/exec"
	"sync"
	"testing"
	"time"
)

// TestFreeWhileProcessesStart listens on the addresses that it is given while the
// same process starts others: a child must not hold a port that was tried.
func TestFreeWhileProcessesStart(t *testing.T) {
	t.Parallel()
	stop := make(chan struct{})
	var starters sync.WaitGroup
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					// The command itself does not matter.
					_ = exec.Command("/bin/true").Run()
				}
			}
		})
	}
	p := &ports{next: portsPerBlock}
	if err := p.claim(); err != nil {
		t.Fatal(err)
	}
	failed, tried := 0, 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); tried++ {
		if p.next >= portsPerBlock {
			p.next = 1 // The same block again.
		}
		address, err := p.free()
		if err != nil {
			t.Fatal(err)
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			failed++
			continue
		}
		_ = listener.Close()
	}
	close(stop)
	starters.Wait()
	_ = p.claims[0].Close()
	if failed > 0 {
		t.Errorf("%d of %d addresses were in use", failed, tried)
	}
}
