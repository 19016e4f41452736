package budget

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
)

// maxLoggedRecords is the number of invalid records in a listing that are logged.
const maxLoggedRecords = 16

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
func newSlotStore(c *keyvalue.Client, domain ident.DomainID, logger log.Logger) slotStore {
	prefix := slotPrefix(domain)
	records := &slotListing{prefix: prefix, log: logger}
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
			return records.decode(listing), nil
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

// slotListing decodes the records of a domain's slots.
type slotListing struct {
	prefix string
	log    log.Logger

	mu     sync.Mutex
	logged map[string]keyvalue.Index // Invalid records in the last listing that are logged.
}

// decode decodes all records of a domain, keyed by slot number. It leaves out invalid ones and
// keys of other writers: a claim of such a slot fails, as its key exists. Each is logged once
// while it stays as it is, and of each listing maxLoggedRecords at most.
func (d *slotListing) decode(listing keyvalue.Listing) map[int]storedSlot {
	d.mu.Lock()
	defer d.mu.Unlock()
	slots := make(map[int]storedSlot, len(listing.Entries))
	logged := make(map[string]keyvalue.Index)
	for _, e := range listing.Entries {
		number, slot, err := d.decodeSlot(e)
		if err == nil {
			slots[number] = slot
			continue
		}
		if len(logged) == maxLoggedRecords {
			continue
		}
		if d.logged[e.Key] != e.ModifyIndex {
			_ = level.Warn(d.log).Log("msg", event.StoreItemIgnored, "key", e.Key, "revision", uint64(e.ModifyIndex), "err", err)
		}
		logged[e.Key] = e.ModifyIndex
	}
	d.logged = logged
	return slots
}

// decodeSlot decodes one record and the number of its slot.
func (d *slotListing) decodeSlot(e keyvalue.Entry) (int, storedSlot, error) {
	name := strings.TrimPrefix(e.Key, d.prefix)
	number, err := strconv.Atoi(name)
	if err != nil || number < 0 || name != strconv.Itoa(number) {
		return 0, storedSlot{}, fault.New(fault.Internal, "the key does not end with a slot number")
	}
	slot, err := decodeEntry(e)
	return number, slot, err
}
