package config

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"
)

// sizePercents are the text sizes that are measured, as percentages of the full
// size: 780 engines and 520 organisations with two keys each. All sizes have 21
// models.
var sizePercents = []int{25, 50, 75, 100}

// textOfSize returns a text of the given percentage of the full size.
func textOfSize(percent int) []byte {
	var b strings.Builder
	b.WriteString("Domains: [d0, d1, d2, d3, d4, d5, d6, d7]\nModels:\n")
	for n := range 21 {
		fmt.Fprintf(&b, "  - {Name: model-%d, Version: v1, MinBytesPerToken: 2, BytesPerKVToken: 131072, MaxTokens: 64000}\n", n)
	}
	b.WriteString("Engines:\n")
	for n := range 780 * percent / 100 {
		role := [...]string{"Prefill", "Decode", "Decode"}[n%3]
		fmt.Fprintf(&b, "  - {Name: engine-%d, Domain: d%d, Address: \"10.%d.%d.7:8000\", Role: %s, Models: [model-%d], Slots: 20, MemoryPieces: 2000, TokensPerPiece: 16, LinkBytesPerSecond: 3600000000, PrefillTokensPerSecond: 9000}\n",
			n, n%8, n/250, n%250, role, n/3%21)
	}
	b.WriteString("Services:\n  - {Name: chat, Kind: ModelService, Models: [")
	for n := range 21 {
		if n > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "model-%d", n)
	}
	b.WriteString("]}\nRoutes:\n  - {Name: completions, Path: /v1/completions, Method: POST, Service: chat, Idempotent: true}\nOrganisations:\n")
	for n := range 520 * percent / 100 {
		fmt.Fprintf(&b, "  - {Name: organisation-%d, RateTokensPerSecond: 5000, BurstTokens: 20000}\n", n)
	}
	b.WriteString("Keys:\n")
	for n := range 1040 * percent / 100 {
		fmt.Fprintf(&b, "  - {Name: key-%d, Organisation: organisation-%d, Salt: %s, Digest: %s}\n", n, n/2, randomHex(16), randomHex(32))
	}
	return []byte(b.String())
}

// randomHex returns n random bytes in hexadecimal.
func randomHex(n int) string {
	raw := make([]byte, n)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// BenchmarkApplyDelta measures how long a daemon takes to unpack and check a text
// in which one number has changed, and the size of the delta sent to it.
func BenchmarkApplyDelta(b *testing.B) {
	for _, percent := range sizePercents {
		b.Run(fmt.Sprintf("Percent%d", percent), func(b *testing.B) {
			raw := textOfSize(percent)
			base := EarlierText{Revision: 1, Raw: raw}
			raw = bytes.Replace(raw, []byte("RateTokensPerSecond: 5000"), []byte("RateTokensPerSecond: 7000"), 1)
			packed, err := PackDelta(raw, base)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				unpacked, err := UnpackWithBase(packed, base)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := NewSnapshot(2, "edit-2", unpacked, time.Now()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "textbytes")
			b.ReportMetric(float64(len(packed)), "sentbytes")
		})
	}
}
