package process

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// TestPortAllocatorsNeverShareAddress checks that two allocators that start at the
// same block, as those of two processes may, allocate no address twice: one of the
// processes would find it in use.
func TestPortAllocatorsNeverShareAddress(t *testing.T) {
	const addresses = 3 * portsPerBlock
	given := make(map[string]bool)
	for range 2 {
		p := &portAllocator{nextPort: portsPerBlock}
		t.Cleanup(func() {
			for _, claim := range p.claimListeners {
				_ = claim.Close()
			}
		})
		for range addresses {
			address, err := p.freeAddress()
			if err != nil {
				t.Fatal(err)
			}
			if given[address] {
				t.Fatalf("%s was allocated twice", address)
			}
			given[address] = true
		}
	}
}

// TestListenWhileProbeSocketStaysOpen listens on a port while a copy of the socket that
// probed it is still open, as in a child that was forked during the probe. The first
// start of a process forks such a child without holding syscall.ForkLock.
func TestListenWhileProbeSocketStaysOpen(t *testing.T) {
	address, err := FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	fd, err := bindPort(parsed.Port)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unix.Close(fd) }()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("cannot listen on a port that was found free: %v", err)
	}
	if isPortFree(parsed.Port) {
		t.Error("a port with a listener was found free")
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if !isPortFree(parsed.Port) {
		t.Error("a port without a listener was not found free")
	}
}
