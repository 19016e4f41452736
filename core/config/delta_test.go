package config

import (
	"bytes"
	"testing"

	"monsoonfork/core/fault"
	"monsoonfork/core/text"
)

func TestDeltaRoundTrip(t *testing.T) {
	base := EarlierText{Revision: 7, Raw: textOfSize(25)}
	next := bytes.Replace(base.Raw, []byte("RateTokensPerSecond: 5000"), []byte("RateTokensPerSecond: 7000"), 1)
	delta, err := PackDelta(next, base)
	if err != nil {
		t.Fatal(err)
	}
	if len(delta) > len(next)/50 {
		t.Errorf("the delta of one changed number has %d bytes, the text has %d", len(delta), len(next))
	}
	raw, err := UnpackWithBase(delta, base)
	if err != nil || !bytes.Equal(raw, next) {
		t.Fatalf("unpacked %d bytes, want %d: %v", len(raw), len(next), err)
	}
	whole, err := Pack(next)
	if err != nil {
		t.Fatal(err)
	}
	if raw, err := UnpackWithBase(whole, base); err != nil || !bytes.Equal(raw, next) {
		t.Errorf("text packed without a base: %d bytes, %v", len(raw), err)
	}
}

func TestInvalidDeltasAreRejected(t *testing.T) {
	base := EarlierText{Revision: 7, Raw: textOfSize(25)}
	delta, err := PackDelta(textOfSize(25), base)
	if err != nil {
		t.Fatal(err)
	}
	for name, wrong := range map[string]EarlierText{
		"no base":          {},
		"another revision": {Revision: 8, Raw: base.Raw},
	} {
		if _, err := UnpackWithBase(delta, wrong); !fault.Is(err, fault.BadText) {
			t.Errorf("%s: %v", name, err)
		}
	}
	bomb, err := PackDelta(make([]byte, 4*text.MaxBytes), base)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := UnpackWithBase(bomb, base); !fault.Is(err, fault.BadText) {
		t.Errorf("delta of an oversized text: %v", err)
	}
	if _, err := UnpackWithBase(append([]byte{}, delta[:len(delta)/2]...), base); !fault.Is(err, fault.BadText) {
		t.Errorf("truncated delta: %v", err)
	}
}
