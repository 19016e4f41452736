package process

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
)

func TestHolder(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if got := Holder(address); !strings.Contains(got, "held by 1 processes: "+strconv.Itoa(os.Getpid())+" ") {
		t.Errorf("of an own listener: %s", got)
	}
	_ = l.Close()
	if got := Holder(address); !strings.Contains(got, "nobody listens") {
		t.Errorf("of a closed one: %s", got)
	}
}
