package config

import (
	"bytes"
	"testing"

	"monsoonfork/core/fault"
	"monsoonfork/core/text"
)

func TestDeltaGivesTheTextBack(t *testing.T) {
	base := Earlier{Revision: 7, Raw: sizedText(25)}
	next := bytes.Replace(base.Raw, []byte("RateTokensPerSecond: 5000"), []byte("RateTokensPerSecond: 7000"), 1)
	delta, err := PackDelta(next, base)
	if err != nil {
		t.Fatal(err)
	}
	if len(delta) > len(next)/50 {
		t.Errorf("the delta of one changed number has %d bytes, the text %d", len(delta), len(next))
	}
	raw, err := UnpackFrom(delta, base)
	if err != nil || !bytes.Equal(raw, next) {
		t.Fatalf("%d bytes, want %d: %v", len(raw), len(next), err)
	}
	whole, err := Pack(next)
	if err != nil {
		t.Fatal(err)
	}
	if raw, err := UnpackFrom(whole, base); err != nil || !bytes.Equal(raw, next) {
		t.Errorf("a text packed as a whole: %d bytes, %v", len(raw), err)
	}
}

func TestDeltaAgainstAnotherTextIsRefused(t *testing.T) {
	base := Earlier{Revision: 7, Raw: sizedText(25)}
	delta, err := PackDelta(sizedText(25), base)
	if err != nil {
		t.Fatal(err)
	}
	for name, wrong := range map[string]Earlier{
		"no text":          {},
		"another revision": {Revision: 8, Raw: base.Raw},
	} {
		if _, err := UnpackFrom(delta, wrong); !fault.Is(err, fault.BadText) {
			t.Errorf("%s: %v", name, err)
		}
	}
	bomb, err := PackDelta(make([]byte, 4*text.MaxBytes), base)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := UnpackFrom(bomb, base); !fault.Is(err, fault.BadText) {
		t.Errorf("a text that becomes too large: %v", err)
	}
	if _, err := UnpackFrom(append([]byte{}, delta[:len(delta)/2]...), base); !fault.Is(err, fault.BadText) {
		t.Errorf("half a delta: %v", err)
	}
}
