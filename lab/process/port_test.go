package process

import "testing"

// TestPortAllocatorsNeverShareAddress checks that two allocators that start at the
// same block, as those of two processes may, allocate no address twice: one of the
// processes would find it in use.
func TestPortAllocatorsNeverShareAddress(t *testing.T) {
	const addresses = 3 * portsPerBlock
	given := make(map[string]bool)
	for range 2 {
		p := &portAllocator{nextPort: portsPerBlock}
		t.Cleanup(func() {
			for _, claim := range p.claimListeners {
				_ = claim.Close()
			}
		})
		for range addresses {
			address, err := p.freeAddress()
			if err != nil {
				t.Fatal(err)
			}
			if given[address] {
				t.Fatalf("%s was allocated twice", address)
			}
			given[address] = true
		}
	}
}
