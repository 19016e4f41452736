package budget

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"monsoonfork/core/keyvalue"
)

// newListingStore returns the records of the domain d in a store that lists the given values
// under the keys of the same names, and the log.
func newListingStore(values map[string]string) (slotStore, *strings.Builder) {
	var logged strings.Builder
	client := &keyvalue.Client{List: func(context.Context, string) (keyvalue.Listing, error) {
		var l keyvalue.Listing
		for name, value := range values {
			l.Entries = append(l.Entries, keyvalue.Entry{Key: slotPrefix("d") + name, Value: []byte(value), ModifyIndex: 7})
		}
		return l, nil
	}}
	return newSlotStore(client, "d", log.NewLogfmtLogger(&logged)), &logged
}

// oddSlots are names of keys under the prefix of slots, and values that are no record of one.
var oddSlots = map[string]string{
	"note": `{"Epoch":1}`, "2": "", "3": `{"Epoch":"1"}`, "4": `{"Epoch":0}`, "5": `{"Epoch":1e400}`, "6": `[]`, "99999999999999999999": `{"Epoch":1}`,
	"-1": `{"Epoch":1}`, "01": `{"Epoch":1}`, "+1": `{"Epoch":1}`, "7": strings.Repeat("[", 20_000), "8/x": `{"Epoch":1}`, "": `{"Epoch":1}`,
}

// TestOddSlotRecordHidesNoOther guards against a key of another writer that keeps instances
// from claiming slots, so that an organisation's rate is not admitted.
func TestOddSlotRecordHidesNoOther(t *testing.T) {
	for name, value := range oddSlots {
		s, logged := newListingStore(map[string]string{name: value, "1": `{"Holder":"h","Epoch":3,"Beat":2}`})
		for range 2 {
			slots, err := s.list(t.Context())
			if err != nil || len(slots) != 1 || slots[1].record.Holder != "h" || slots[1].version != 7 {
				t.Errorf("key %q with %.20q: slots %v, %v", name, value, slots, err)
			}
		}
		if n := strings.Count(logged.String(), "\n"); n != 1 {
			t.Errorf("key %q with %.20q: %d log lines for two reads, want 1", name, value, n)
		}
	}
}

// FuzzSlots guards against a record that panics the decoder, is taken for a slot without an
// epoch, or hides another one.
func FuzzSlots(f *testing.F) {
	for name, value := range oddSlots {
		if len(value) < 1000 {
			f.Add(name, value)
		}
	}
	f.Add("0", `{"Holder":"h","Epoch":9223372036854775807,"Beat":9223372036854775807}`)
	f.Fuzz(func(t *testing.T, name, value string) {
		s, _ := newListingStore(map[string]string{name: value, "1": `{"Holder":"h","Epoch":3,"Beat":2}`})
		slots, err := s.list(context.Background())
		if err != nil || (name != "1" && fmt.Sprint(slots[1].record) != "{h 3 2}") {
			t.Errorf("slots %v, %v", slots, err)
		}
		for number, slot := range slots {
			if number < 0 || slot.record.Epoch < 1 || slot.record.Beat < 0 {
				t.Errorf("slot %d: %+v", number, slot)
			}
		}
	})
}
