package process

import (
	"net"
	"os/exec"
	"sync"
	"testing"
	"time"
)

// TestFreeAddressWhileProcessesStart allocates addresses and listens on them while
// the process starts children. A child forked during a probe must not inherit the
// probe's listener and keep the port occupied.
func TestFreeAddressWhileProcessesStart(t *testing.T) {
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
					// Any command does: only the fork matters.
					_ = exec.Command("/bin/true").Run()
				}
			}
		})
	}
	p := &portAllocator{nextPort: portsPerBlock}
	if err := p.claimBlock(); err != nil {
		t.Fatal(err)
	}
	failed, tried := 0, 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); tried++ {
		if p.nextPort >= portsPerBlock {
			p.nextPort = 1 // Reuse the block.
		}
		address, err := p.freeAddress()
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
	_ = p.claimListeners[0].Close()
	if failed > 0 {
		t.Errorf("%d of %d addresses were in use", failed, tried)
	}
}
