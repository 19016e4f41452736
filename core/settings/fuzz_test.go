package settings

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"monsoonfork/core/fault"
)

// fuzzInputTime bounds the time for one file.
const fuzzInputTime = 2 * time.Second

// fuzzSettings are settings files, and bytes that are none.
var fuzzSettings = []string{
	validSettings, validSettings + "TLS: {CertFile: c, KeyFile: k, CAFile: a}\nMemoryMB: 1e400\n", validSettings + "Bounds: {StopS: .nan, RepeatRatio: .inf, OrderLeaseMS: -1}\nDeployment: Platform\n",
	validSettings + "Bounds: {StopS: 20, RepeatRatio: 0.2, RepeatSlack: 3, RepeatWindowS: 10, OrderLeaseMS: 2000}\nDeployment: Platform\n",
	validSettings + "Name: b\n", validSettings + "HeartbeatMS: 9223372036854775808\n", "Name: &a b\nDomain: *a\n", "a: &a [*a]", "Name: [x]\nTLS: x\nFirstPeers: {}\n", "--- ", "null", "[]", "\xff", "", "---\n---\n",
	strings.Repeat("[", 500), strings.Repeat("TLS: {", 200), "StoreAddresses: [null, '', 7, [x]]\n", "FirstPeers: ['[::1]:80', '1.2.3.4:99999', '1.2.3.4:']\n",
}

// TestBoundsOutOfRangeAreProblems guards against bounds that are negative, not numbers, or too
// large for a duration, with which a stop or the retries of a window last for no defined time.
func TestBoundsOutOfRangeAreProblems(t *testing.T) {
	for _, field := range []string{"RepeatRatio", "RepeatSlack", "RepeatWindowS", "StopS"} {
		for _, value := range []string{".nan", ".inf", "-.inf", "-1", "1e300"} {
			_, err := Decode([]byte(validSettings + "Bounds: {" + field + ": " + value + "}\n"))
			if !fault.Is(err, fault.BadSettings) || !strings.Contains(err.Error(), "Bounds."+field) {
				t.Errorf("%s: %s: %v, want a problem", field, value, err)
			}
		}
	}
	for _, value := range []string{"-1", "9223372036854775807"} {
		if _, err := Decode([]byte(validSettings + "Bounds: {OrderLeaseMS: " + value + "}\n")); !fault.Is(err, fault.BadSettings) {
			t.Errorf("OrderLeaseMS: %s: %v, want a problem", value, err)
		}
	}
	if _, err := Decode([]byte(fuzzSettings[3])); err != nil {
		t.Error(err)
	}
}

// FuzzDecode guards against a settings file that panics the decoder, takes long, or is accepted
// with values out of range.
func FuzzDecode(f *testing.F) {
	for _, raw := range fuzzSettings {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		started := time.Now()
		s, err := Decode(raw)
		if elapsed := time.Since(started); elapsed > fuzzInputTime {
			t.Errorf("%d bytes took %v", len(raw), elapsed)
		}
		if err != nil {
			if !fault.Is(err, fault.BadSettings) {
				t.Errorf("error %v, want BadSettings", err)
			}
			return
		}
		for _, a := range append(append(s.StoreAddresses, s.FirstPeers...), s.CallerAddress, s.PeerAddress, s.PeerListener(), s.OperatorAddress) {
			if _, err := netip.ParseAddrPort(string(a)); err != nil {
				t.Errorf("%+v has address %q", s, a)
			}
		}
		inRange := s.HeartbeatMS >= minHeartbeatMS && s.HeartbeatMS <= maxHeartbeatMS && s.OrderLeaseMS >= minOrderLeaseMS && s.OrderLeaseMS <= maxOrderLeaseMS && s.MemoryMB >= 0 && s.MemoryMB <= maxMemoryMB
		stop := time.Duration(s.Bounds.StopS * float64(time.Second))
		if !inRange || s.Name == "" || s.Domain == "" || stop < 0 || !(s.Bounds.RepeatRatio >= 0) || s.Bounds.OrderLeaseMS < 0 {
			t.Errorf("accepted %+v", s)
		}
	})
}
