package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

// startEcho starts a server that sends back what it gets, and a relay to it.
func startEcho(t *testing.T) *Relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	r, err := New(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	return r
}

// dialFrom connects to a relay from a loopback address.
func dialFrom(t *testing.T, r *Relay, source string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}).Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echoes reports whether a line comes back within a time.
func echoes(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	if _, err := io.WriteString(c, "line\n"); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && line == "line\n"
}

const (
	silence = 150 * time.Millisecond // Time within which no data must arrive.
	arrival = 2 * time.Second        // Time within which data must arrive.
)

// TestCutFromCutsOneSource cuts one of two sources: open and new connections from it lose
// their data, and those from the other do not.
func TestCutFromCutsOneSource(t *testing.T) {
	r := startEcho(t)
	before, other := dialFrom(t, r, "127.1.0.1"), dialFrom(t, r, "127.1.0.2")
	if !echoes(t, before, arrival) {
		t.Fatal("no data before the cut")
	}
	r.CutFrom(netip.MustParseAddr("127.1.0.1"))
	if echoes(t, before, silence) || echoes(t, dialFrom(t, r, "127.1.0.1"), silence) {
		t.Error("data passed the cut")
	}
	if !echoes(t, other, arrival) {
		t.Error("the other source is cut too")
	}
	r.Heal()
	if !echoes(t, dialFrom(t, r, "127.1.0.1"), arrival) {
		t.Error("no data after Heal")
	}
}

// TestHoldDeliversAfterHeal keeps data back and expects it after Heal, on the same connection.
func TestHoldDeliversAfterHeal(t *testing.T) {
	r := startEcho(t)
	c := dialFrom(t, r, "127.0.0.1")
	r.Hold()
	if echoes(t, c, silence) {
		t.Error("data arrived during Hold")
	}
	r.Heal()
	if !echoes(t, c, arrival) {
		t.Error("no data after Heal")
	}
}

// TestRefuseAndAccept expects a reset of open connections, refusal of new ones, and the
// same address after Accept.
func TestRefuseAndAccept(t *testing.T) {
	r := startEcho(t)
	address, c := r.Address(), dialFrom(t, r, "127.0.0.1")
	if !echoes(t, c, arrival) {
		t.Fatal("no data before Refuse")
	}
	r.Refuse()
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is still open")
	}
	if _, err := net.Dial("tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial: %v, want a refusal", err)
	}
	if err := r.Accept(); err != nil {
		t.Fatal(err)
	}
	if r.Address() != address || !echoes(t, dialFrom(t, r, "127.0.0.1"), arrival) {
		t.Error("no data after Accept")
	}
}
