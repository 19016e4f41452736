package process

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"golang.org/x/sys/unix"
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
		port := blockPort(p.block, p.nextPort)
		p.nextPort++
		if isPortFree(port) {
			return portAddress(port), nil
		}
	}
}

// isPortFree reports whether a program can listen on a port of 127.0.0.1.
func isPortFree(port int) bool {
	fd, err := bindPort(port)
	return err == nil && unix.Close(fd) == nil
}

// bindPort returns a socket that is bound to a port of 127.0.0.1. It fails if a
// socket listens on the port. The socket itself does not listen, and has
// SO_REUSEADDR set: a child that was forked meanwhile keeps its copy of the socket
// open for a moment, and a program must be able to listen on the port nevertheless.
func bindPort(port int) (fd int, err error) {
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		_ = unix.Close(fd)
		return 0, err
	}
	return fd, nil
}

// claimBlock reserves the next block that no process has reserved.
func (p *portAllocator) claimBlock() error {
	blocks := (lastPort - firstPort) / portsPerBlock
	for range blocks {
		p.block = (p.block + 1) % blocks
		claim, err := net.Listen("tcp", portAddress(blockPort(p.block, 0)))
		if err != nil {
			continue
		}
		p.claimListeners = append(p.claimListeners, claim)
		p.nextPort = 1
		return nil
	}
	return fmt.Errorf("no unreserved block of ports from %d to %d", firstPort, lastPort)
}

// blockPort returns the nth port of a block.
func blockPort(block, n int) int { return firstPort + block*portsPerBlock + n }

// portAddress returns the loopback address with a port.
func portAddress(port int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}
