package fault

import "testing"

func TestEveryKindHasAnAnswer(t *testing.T) {
	for _, k := range Kinds() {
		a, ok := responses[k]
		if !ok {
			t.Errorf("kind %v has no answer", k)
			continue
		}
		if a.Status < 400 || a.Type == "" {
			t.Errorf("kind %v: answer %+v is not an error answer", k, a)
		}
	}
	if len(responses) != len(Kinds()) {
		t.Errorf("responses has %d entries for %d kinds", len(responses), len(Kinds()))
	}
}
