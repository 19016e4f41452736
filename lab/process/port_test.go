package process

import "testing"

// Two processes that begin at the same port must not be given the same
// address: one of them would find it in use when it listens there.
func TestPortsOfTwoProcessesAreApart(t *testing.T) {
	const addresses = 3 * portsPerBlock
	given := make(map[string]bool)
	for range 2 {
		p := &ports{next: portsPerBlock}
		t.Cleanup(func() {
			for _, claim := range p.claims {
				_ = claim.Close()
			}
		})
		for range addresses {
			address, err := p.free()
			if err != nil {
				t.Fatal(err)
			}
			if given[address] {
				t.Fatalf("%s was given twice", address)
			}
			given[address] = true
		}
	}
}
