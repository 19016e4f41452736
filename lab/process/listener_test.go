package process

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// releaseTime bounds the time from the close of a listener until the kernel lists it no more.
const releaseTime = 5 * time.Second

func TestListenerProcessesDescribesListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if got := ListenerProcesses(address); !strings.Contains(got, "held by 1 processes: "+strconv.Itoa(os.Getpid())+" ") {
		t.Errorf("listener of this process: %s", got)
	}
	_ = l.Close()
	// A process that reads the link of the descriptor at this moment keeps the socket open.
	deadline := time.Now().Add(releaseTime)
	for got := ""; !strings.Contains(got, "no process listens"); got = ListenerProcesses(address) {
		if time.Now().After(deadline) {
			t.Fatalf("closed listener: %s", got)
		}
	}
}
