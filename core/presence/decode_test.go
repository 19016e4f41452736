package presence

import (
	"testing"
	"time"

	"monsoonfork/core/ident"
)

// invalidRegistrations are values that another writer may leave in the register.
var invalidRegistrations = []string{
	"", "null", "[]", "7", "{", `{"Domain":"a"}`, `{"Domain":"a","Members":0}`, `{"Domain":"a","Members":-3}`, `{"Domain":"b","Members":3}`,
	`{"Domain":"a","Members":1e3}`, `{"Domain":"a","Members":1e400}`, `{"Domain":"a","Members":9223372036854775807}`, `{"Domain":"a","Members":100001}`,
	`{"Domain":"a","Members":"3"}`, `{"Domain":"a","Members":3,"PeerAddress":7}`, "\xff",
}

// TestInvalidRegistrationDoesNotCount guards against an entry that raises the number of
// instances without bound, so that each admits next to nothing of the rates, or makes the
// sum overflow.
func TestInvalidRegistrationDoesNotCount(t *testing.T) {
	g := NewRegister(time.Now)
	for _, domain := range []ident.DomainID{"a", "c"} {
		if err := g.Put(domain, []byte(`{"Domain":"`+string(domain)+`","Members":4}`), 1); err != nil {
			t.Fatal(err)
		}
	}
	for i, value := range invalidRegistrations {
		if err := g.Put("a", []byte(value), int64(i+2)); err == nil {
			t.Errorf("entry %q was accepted", value)
		}
	}
	if n := g.Count(); n != 8 {
		t.Errorf("%d instances are registered, want 8", n)
	}
}

// FuzzRegistration guards against entries that panic the decoder or give a count out of
// range.
func FuzzRegistration(f *testing.F) {
	for _, value := range invalidRegistrations {
		f.Add("a", []byte(value))
	}
	f.Add("a", []byte(`{"Domain":"a","Members":4,"Instance":"i","PeerAddress":"10.0.0.1:7000"}`))
	f.Fuzz(func(t *testing.T, domain string, value []byte) {
		g := NewRegister(time.Now)
		err := g.Put(ident.DomainID(domain), value, 1)
		if n := g.Count(); n < 0 || n > maxMembers || (err != nil) != (n == 0) {
			t.Errorf("count %d, error %v", n, err)
		}
		_ = g.Addresses()
		g.Remove(ident.DomainID(domain), 2)
	})
}
