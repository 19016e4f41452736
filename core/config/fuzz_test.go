package config

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/text"
)

// fuzzTexts are texts of operators, and bytes that are none.
var fuzzTexts = []string{
	"", "#", "--- ", "---\n...\n", "null", "[]", "- a", "\xff", "a: &a [*a]", "Domains: &x [a]\nModels: *x",
	"Domains: [a, a, '', null]\nDomains: [b]", "Domains: 7\nRoutes: {}\nKeys: [7, null, {}]", "? [a]\n: b", "!!binary x", "Domains: !!int [1]",
	"Domains: [north]\nOrganisations:\n  - {Name: o, RateTokensPerSecond: .nan, BurstTokens: 99999999999999999999}",
	"Organisations: [{Name: o, RateTokensPerSecond: 1e400, BurstTokens: -1}, {Name: p, RateTokensPerSecond: 5, BurstTokens: 5}]",
	"Routes: [{Name: r, Path: /a, Service: s, TimeoutMS: 9223372036854775807, FirstTokenMS: -1}]",
	"Engines: [{Name: e, Domain: d, Address: '1.2.3.4:0', Role: Prefill, Slots: 1.5}]", "Policy: {Placement: 7, CutOffKeys: None}",
	"Services: [{Name: a, DependsOn: [b]}, {Name: b, DependsOn: [a]}]", "a: |\n  x\n b", strings.Repeat("[", 500), strings.Repeat("a: {", 200), "%YAML 9.9\n---\na: b",
	"Domains: [north]\nServices: [{Name: s, Kind: PlainService, Endpoints: [{Name: e, Domain: north, Address: '10.0.0.1:80'}]}]\n" +
		"Routes: [{Name: r, Path: /a/, Service: s, Access: Open, Idempotent: true}]\n",
}

// fuzzInputTime bounds the time for one input.
const fuzzInputTime = 2 * time.Second

// FuzzText guards against texts that panic the decoder or the checks, take long, are refused
// without a problem that names a line, or do not survive compression.
func FuzzText(f *testing.F) {
	for _, raw := range fuzzTexts {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		started := time.Now()
		parsed, problems := text.Parse(raw)
		if elapsed := time.Since(started); elapsed > fuzzInputTime {
			t.Errorf("%d bytes took %v", len(raw), elapsed)
		}
		for _, p := range problems {
			if p.Message == "" || p.Line < 0 || p.Line > bytes.Count(raw, []byte("\n"))+bytes.Count(raw, []byte("\r"))+2 {
				t.Errorf("problem %+v in %d bytes", p, len(raw))
			}
		}
		if len(problems) > 0 {
			return
		}
		if parsed == nil {
			t.Fatal("a text without problems is nil")
		}
		checkPacked(t, raw)
	})
}

// checkPacked fails the test if a text changes when it is packed and unpacked.
func checkPacked(t *testing.T, raw []byte) {
	t.Helper()
	packed, err := Pack(raw)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Unpack(packed); err != nil || !bytes.Equal(got, raw) {
		t.Errorf("unpacked %q, %v", got, err)
	}
}

// FuzzStored guards against a head, a packed text or a delta in the store or from another
// instance that panics, is unpacked beyond the limit of a text, or decodes to an inconsistent
// head.
func FuzzStored(f *testing.F) {
	base := EarlierText{Revision: 7, Raw: []byte(fuzzTexts[len(fuzzTexts)-1])}
	packed, _ := Pack(base.Raw)
	bomb, _ := Pack(make([]byte, 2*text.MaxBytes))
	delta, _ := PackDelta([]byte("Domains: [south]\n"), base)
	bombDelta, _ := PackDelta(make([]byte, 2*text.MaxBytes), base)
	for _, stored := range [][]byte{packed, bomb, delta, bombDelta, packed[:len(packed)/2], delta[:len(delta)/2], zstdMagic, {0x1f, 0x8b}, {}} {
		f.Add(stored)
	}
	for _, head := range []string{
		`{"Revision":1,"Digest":"x","Edits":[{"ID":"a","Revision":1}]}`, `{"Revision":1,"Edits":[]}`, `{"Revision":1e400}`, `null`, `[]`,
		`{"Revision":-1,"Edits":[{"Revision":-1}]}`, `{"Revision":2,"Edits":[{"ID":"a","Revision":1}]}`, `{"Edits":[null]}`, "\xff",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, stored []byte) {
		started := time.Now()
		if raw, err := UnpackWithBase(stored, base); err != nil && !fault.Is(err, fault.BadText) {
			t.Errorf("error %v, want BadText", err)
		} else if len(raw) > text.MaxBytes {
			t.Errorf("unpacked %d bytes", len(raw))
		}
		if _, err := UnpackWithBase(stored, EarlierText{}); err != nil && !fault.Is(err, fault.BadText) {
			t.Errorf("error without a base %v, want BadText", err)
		}
		if h, err := DecodeHead(stored); err == nil && (h.Revision < 1 || h.Edits[len(h.Edits)-1].Revision != h.Revision) {
			t.Errorf("decoded %+v", h)
		}
		if elapsed := time.Since(started); elapsed > fuzzInputTime {
			t.Errorf("%d bytes took %v", len(stored), elapsed)
		}
	})
}
