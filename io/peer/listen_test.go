package peer

import (
	"net"
	"testing"

	"github.com/go-kit/log"

	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
	"monsoonfork/core/settings"
	"monsoonfork/lab/process"
)

// TestListenLinksPrefersPeerListenAddress checks that an instance behind a proxy listens at
// PeerListenAddress, and leaves PeerAddress to the proxy.
func TestListenLinksPrefersPeerListenAddress(t *testing.T) {
	var addresses [2]ident.Address
	for n := range addresses {
		address, err := process.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		addresses[n] = ident.Address(address)
	}
	n := kernel.NewNode(&settings.Settings{Name: "a", Domain: "d", PeerAddress: addresses[0], PeerListenAddress: addresses[1]}, log.NewNopLogger())
	links, err := listenLinks(n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = links.Close() })
	for n, want := range []bool{false, true} {
		c, err := net.Dial("tcp", string(addresses[n]))
		if (err == nil) != want {
			t.Errorf("dial %s: %v, want a listener: %v", addresses[n], err, want)
		}
		if err == nil {
			_ = c.Close()
		}
	}
}
