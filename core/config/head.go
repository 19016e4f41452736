package config

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"slices"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
	"monsoonfork/core/text"
)

// HeadKey is the store's key of the head.
const HeadKey = "monsoonfork/head"

// textPrefix begins the keys of texts; the edit id follows.
const textPrefix = "monsoonfork/texts/"

// keptEdits is the number of edits that the head remembers, and of texts that
// the store keeps.
const keptEdits = 32

// Edit is one accepted change of the text.
type Edit struct {
	ID       string
	Revision ident.Revision
}

// Head is the value under HeadKey: the newest revision and the last edits,
// the newest last.
type Head struct {
	Revision ident.Revision
	Digest   string // Hex SHA-256 of the text.
	Edits    []Edit
}

// Newest returns the id of the edit that made the revision.
func (h Head) Newest() string {
	if len(h.Edits) == 0 {
		return ""
	}
	return h.Edits[len(h.Edits)-1].ID
}

// find returns the edit with an id.
func (h Head) find(id string) (Edit, bool) {
	i := slices.IndexFunc(h.Edits, func(e Edit) bool { return e.ID == id })
	if i < 0 {
		return Edit{}, false
	}
	return h.Edits[i], true
}

// next returns the head after an edit, and the edits that it drops.
func (h Head) next(id, digest string, revision ident.Revision) (head Head, dropped []Edit) {
	edits := append(slices.Clone(h.Edits), Edit{id, revision})
	cut := max(0, len(edits)-keptEdits)
	return Head{Revision: revision, Digest: digest, Edits: edits[cut:]}, edits[:cut]
}

// DecodeHead reads a head from an entry of the store, and checks it.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, fault.Wrap(err, fault.StoreUnavailable, "the head in the store is malformed")
	}
	if h.Revision < 1 || len(h.Edits) == 0 || h.Edits[len(h.Edits)-1].Revision != h.Revision {
		return Head{}, fault.New(fault.StoreUnavailable, "the head in the store contradicts itself")
	}
	return h, nil
}

// StoredHead is a head with the index to watch or swap at. The zero Head
// stands for a store without a text.
type StoredHead struct {
	Head   Head
	Modify keyvalue.Index // ModifyIndex of the key; 0 when it does not exist.
	Watch  keyvalue.Index
}

// ReadHead reads the head from the store.
func ReadHead(ctx context.Context, c *keyvalue.Client) (StoredHead, error) {
	l, err := c.Get(ctx, HeadKey)
	if err != nil {
		return StoredHead{}, err
	}
	return storedHead(l)
}

// WatchHead waits until the head's index passes after, at most for wait.
func WatchHead(ctx context.Context, c *keyvalue.Client, after keyvalue.Index, wait time.Duration) (StoredHead, error) {
	l, err := c.Watch(ctx, HeadKey, after, wait)
	if err != nil {
		return StoredHead{}, err
	}
	return storedHead(l)
}

// storedHead decodes the answer to a read of HeadKey.
func storedHead(l keyvalue.Listing) (StoredHead, error) {
	s := StoredHead{Watch: l.Index}
	e, found := l.First()
	if !found {
		return s, nil
	}
	h, err := DecodeHead(e.Value)
	if err != nil {
		return StoredHead{}, err
	}
	s.Head, s.Modify = h, e.ModifyIndex
	return s, nil
}

// ReadSnapshot fetches the text of a head's newest revision and checks it
// against the head's digest.
func ReadSnapshot(ctx context.Context, c *keyvalue.Client, h Head, now time.Time) (*Snapshot, error) {
	l, err := c.Get(ctx, textPrefix+h.Newest())
	if err != nil {
		return nil, err
	}
	e, found := l.First()
	if !found {
		return nil, fault.New(fault.StoreUnavailable, "the store lacks the text of revision %d", h.Revision)
	}
	raw, err := Unpack(e.Value)
	if err != nil {
		return nil, err
	}
	s, err := NewSnapshot(h.Revision, h.Newest(), raw, now)
	if err != nil {
		return nil, err
	}
	if s.Digest != h.Digest {
		return nil, fault.New(fault.StoreUnavailable, "the text of revision %d has another digest than its head", h.Revision)
	}
	return s, nil
}

// NewSnapshot decodes and checks a text. Errors have kind BadText.
func NewSnapshot(revision ident.Revision, editID string, raw []byte, now time.Time) (*Snapshot, error) {
	if revision < 1 || editID == "" {
		return nil, fault.New(fault.BadText, "revision %d of edit %q is none", revision, editID)
	}
	t, err := text.ParseValid(raw)
	if err != nil {
		return nil, err
	}
	return &Snapshot{
		Revision: revision, EditID: editID, Raw: raw, Digest: digestOf(raw), Text: t, Received: now,
	}, nil
}

// digestOf returns the hex SHA-256 of a text.
func digestOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Pack compresses a text for the store and for links.
func Pack(raw []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(raw); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "compress the text")
	}
	if err := w.Close(); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "compress the text")
	}
	return b.Bytes(), nil
}

// Unpack reverses Pack. It refuses what would become larger than a text may be.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fault.Wrap(err, fault.BadText, "the packed text is malformed")
	}
	raw, err := io.ReadAll(io.LimitReader(r, text.MaxBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.BadText, "the packed text is malformed")
	}
	if len(raw) > text.MaxBytes {
		return nil, fault.New(fault.BadText, "the packed text is larger than %d bytes", text.MaxBytes)
	}
	return raw, nil
}
