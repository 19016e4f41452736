package budget

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
)

// slotRecord is the JSON value of a slot in the store. The holder renews it
// by incrementing Beat; a slot with an empty Holder is free.
type slotRecord struct {
	Holder ident.InstanceID
	Epoch  ident.Epoch
	Beat   int64
}

// storedSlot is a record with its version in the store.
type storedSlot struct {
	record  slotRecord
	version uint64 // 0 if the record does not exist.
}

// slotStore reads and writes the records of this domain's slots. swap writes
// a record only if the stored version is still the given one.
type slotStore struct {
	get  func(ctx context.Context, slot int) (storedSlot, error)
	list func(ctx context.Context) (map[int]storedSlot, error)
	swap func(ctx context.Context, slot int, r slotRecord, version uint64) keyvalue.Outcome
}

// decodeSlotRecord decodes and validates a record.
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

// slotPrefix returns the key prefix of the records of a domain's slots.
func slotPrefix(domain ident.DomainID) string {
	return fmt.Sprintf("monsoonfork/budget/%s/", domain)
}

// newSlotStore returns access to the records of a domain's slots in the
// platform's key-value store.
func newSlotStore(c *keyvalue.Client, domain ident.DomainID) slotStore {
	prefix := slotPrefix(domain)
	return slotStore{
		get: func(ctx context.Context, slot int) (storedSlot, error) {
			listing, err := c.Get(ctx, prefix+strconv.Itoa(slot))
			if err != nil {
				return storedSlot{}, err
			}
			entry, ok := listing.FirstEntry()
			if !ok {
				return storedSlot{}, nil
			}
			return decodeEntry(entry)
		},
		list: func(ctx context.Context) (map[int]storedSlot, error) {
			listing, err := c.List(ctx, prefix)
			if err != nil {
				return nil, err
			}
			return decodeListing(prefix, listing)
		},
		swap: func(ctx context.Context, slot int, r slotRecord, version uint64) keyvalue.Outcome {
			raw, err := json.Marshal(r)
			if err != nil {
				return keyvalue.NotWritten
			}
			outcome, _ := c.CompareAndSwap(ctx, prefix+strconv.Itoa(slot), raw, keyvalue.Index(version))
			return outcome
		},
	}
}

// decodeEntry decodes one entry of the store.
func decodeEntry(e keyvalue.Entry) (storedSlot, error) {
	r, err := decodeSlotRecord(e.Value)
	if err != nil {
		return storedSlot{}, err
	}
	return storedSlot{record: r, version: uint64(e.ModifyIndex)}, nil
}

// decodeListing decodes all records of a domain, keyed by slot number.
func decodeListing(prefix string, listing keyvalue.Listing) (map[int]storedSlot, error) {
	slots := make(map[int]storedSlot, len(listing.Entries))
	for _, e := range listing.Entries {
		number, err := strconv.Atoi(strings.TrimPrefix(e.Key, prefix))
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "key %s does not end with a slot number", e.Key)
		}
		slot, err := decodeEntry(e)
		if err != nil {
			return nil, err
		}
		slots[number] = slot
	}
	return slots, nil
}
