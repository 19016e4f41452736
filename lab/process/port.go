package process

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Ports are taken from below the range that the kernel gives to outgoing
// connections, so that none of those takes a port that was found free.
const (
	firstPort = 12_000
	lastPort  = 31_000
)

var (
	portMu   sync.Mutex
	nextPort = firstPort + rand.IntN(lastPort-firstPort)
)

// FreeAddress returns a loopback address whose port is free, and that this
// process has not returned lately.
func FreeAddress() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range lastPort - firstPort {
		nextPort++
		if nextPort >= lastPort {
			nextPort = firstPort
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(nextPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, lastPort)
}
