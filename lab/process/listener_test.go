package process

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
)

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
	if got := ListenerProcesses(address); !strings.Contains(got, "no process listens") {
		t.Errorf("closed listener: %s", got)
	}
}
