package process

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
)

// Ports are taken from below the range that the kernel gives to outgoing
// connections, so that none of those takes a port that was found free.
const (
	firstPort = 12_000
	lastPort  = 31_000
	// portsPerBlock is how many ports a process claims at once. The first of
	// them stays open as the claim.
	portsPerBlock = 100
)

// ports hands out ports of blocks that no other process draws from. Without
// the claim, a process that tries whether a port is free can hold it just as
// another one, which was given the port before, wants to listen there.
type ports struct {
	mu sync.Mutex
	// block is the number of the block in use, next the port of it to try next.
	block, next int
	// claims are the listeners that hold this process's blocks, until it ends.
	claims []net.Listener
}

var processPorts = &ports{
	block: rand.IntN((lastPort - firstPort) / portsPerBlock),
	next:  portsPerBlock,
}

// FreeAddress returns a loopback address whose port is free, and that no
// process which calls it has been given.
func FreeAddress() (string, error) {
	return processPorts.free()
}

// free returns the next free address of the block in use, and claims another
// block when this one is used up.
func (p *ports) free() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next >= portsPerBlock {
			if err := p.claim(); err != nil {
				return "", err
			}
		}
		address := blockAddress(p.block, p.next)
		p.next++
		if probe(address) {
			return address, nil
		}
	}
}

// probe reports whether a port is free. A child that is started meanwhile would hold
// the port until it runs its program.
func probe(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	return err == nil && listener.Close() == nil
}

// claim goes on to the next block that nobody holds.
func (p *ports) claim() error {
	blocks := (lastPort - firstPort) / portsPerBlock
	for range blocks {
		p.block = (p.block + 1) % blocks
		claim, err := net.Listen("tcp", blockAddress(p.block, 0))
		if err != nil {
			continue
		}
		p.claims = append(p.claims, claim)
		p.next = 1
		return nil
	}
	return fmt.Errorf("no free port from %d to %d", firstPort, lastPort)
}

// blockAddress returns the address of the nth port of a block.
func blockAddress(block, n int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+block*portsPerBlock+n))
}
