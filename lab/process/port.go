package process

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
)

// Ports are allocated below the kernel's ephemeral range, so that no outgoing
// connection occupies a port after it was found free.
const (
	firstPort = 12_000
	lastPort  = 31_000
	// portsPerBlock is the number of ports that a process reserves at once. A
	// listener on the first port of a block marks the block as reserved.
	portsPerBlock = 100
)

// portAllocator allocates ports from blocks that it reserves across processes.
// Without the reservation, a process that probes a port by listening on it could
// occupy the port at the moment when another process, which was allocated the
// port before, starts to listen on it.
type portAllocator struct {
	mu sync.Mutex
	// block is the number of the reserved block in use. nextPort is the offset
	// in it of the next port to probe.
	block, nextPort int
	// claimListeners keep the reserved blocks reserved until the process exits.
	claimListeners []net.Listener
}

var processPorts = &portAllocator{
	block:    rand.IntN((lastPort - firstPort) / portsPerBlock),
	nextPort: portsPerBlock,
}

// FreeAddress returns a loopback address whose port is free. It never returns the
// same address twice, also not to different processes that run concurrently.
func FreeAddress() (string, error) {
	return processPorts.freeAddress()
}

// freeAddress returns the next free address of the block in use, and reserves
// another block when this one is exhausted.
func (p *portAllocator) freeAddress() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.nextPort >= portsPerBlock {
			if err := p.claimBlock(); err != nil {
				return "", err
			}
		}
		address := blockAddress(p.block, p.nextPort)
		p.nextPort++
		if isPortFree(address) {
			return address, nil
		}
	}
}

// isPortFree reports whether it can listen on address. It holds syscall.ForkLock,
// because a child forked during the probe would inherit the listener and occupy
// the port until it executes its program.
func isPortFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	return err == nil && listener.Close() == nil
}

// claimBlock reserves the next block that no process has reserved.
func (p *portAllocator) claimBlock() error {
	blocks := (lastPort - firstPort) / portsPerBlock
	for range blocks {
		p.block = (p.block + 1) % blocks
		claim, err := net.Listen("tcp", blockAddress(p.block, 0))
		if err != nil {
			continue
		}
		p.claimListeners = append(p.claimListeners, claim)
		p.nextPort = 1
		return nil
	}
	return fmt.Errorf("no unreserved block of ports from %d to %d", firstPort, lastPort)
}

// blockAddress returns the address of the nth port of a block.
func blockAddress(block, n int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+block*portsPerBlock+n))
}
