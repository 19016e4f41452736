package budget

import (
	"context"
	"encoding/json"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// slotRecord is a slot's value in the store. The holder renews it by raising
// Beat; a slot without a holder is free.
type slotRecord struct {
	Holder ident.InstanceID
	Epoch  ident.Epoch
	Beat   int64
}

// storedSlot is a record with its version in the store.
type storedSlot struct {
	record  slotRecord
	version uint64 // 0 when the record does not exist.
}

// swapOutcome says what is known about a write to the store.
type swapOutcome int

// The outcomes of a write.
const (
	swapUnknown swapOutcome = iota
	swapWritten
	swapConflict
	swapNotWritten
)

// slotStore reads and writes the records of this domain's slots.
type slotStore struct {
	get  func(ctx context.Context, slot int) (storedSlot, error)
	list func(ctx context.Context) (map[int]storedSlot, error)
	swap func(ctx context.Context, slot int, r slotRecord, version uint64) swapOutcome
}

// decodeSlotRecord decodes and checks a record.
func decodeSlotRecord(raw []byte) (slotRecord, error) {
	var r slotRecord
	if err := json.Unmarshal(raw, &r); err != nil {
		return slotRecord{}, fault.Wrap(err, fault.Internal, "malformed slot record")
	}
	if r.Epoch < 1 || r.Beat < 0 {
		return slotRecord{}, fault.New(fault.Internal, "malformed slot record: epoch %d, beat %d", r.Epoch, r.Beat)
	}
	return r, nil
}
