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

// HeadKey is the store key of the head.
const HeadKey = "monsoonfork/head"

// textPrefix is the prefix of the store keys of texts; the edit id follows it.
const textPrefix = "monsoonfork/texts/"

// maxHeadEdits is the maximum number of edits that the head lists. The store
// keeps the texts of these edits.
const maxHeadEdits = 32

// Edit is an accepted edit and the revision that it created.
type Edit struct {
	ID       string
	Revision ident.Revision
}

// Head is the value stored under HeadKey: the newest revision and the most recent
// edits, oldest first.
type Head struct {
	Revision ident.Revision
	Digest   string // Hex SHA-256 of the text.
	Edits    []Edit
}

// NewestEditID returns the id of the edit that created the newest revision.
func (h Head) NewestEditID() string {
	if len(h.Edits) == 0 {
		return ""
	}
	return h.Edits[len(h.Edits)-1].ID
}

// findEdit returns the edit with the given id, if the head lists it.
func (h Head) findEdit(id string) (Edit, bool) {
	i := slices.IndexFunc(h.Edits, func(e Edit) bool { return e.ID == id })
	if i < 0 {
		return Edit{}, false
	}
	return h.Edits[i], true
}

// withEdit returns the head after a further edit, and the oldest edits that no
// longer fit into it.
func (h Head) withEdit(id, digest string, revision ident.Revision) (head Head, dropped []Edit) {
	edits := append(slices.Clone(h.Edits), Edit{id, revision})
	cut := max(0, len(edits)-maxHeadEdits)
	return Head{Revision: revision, Digest: digest, Edits: edits[cut:]}, edits[:cut]
}

// DecodeHead decodes a head from its store value and checks it.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, fault.Wrap(err, fault.StoreUnavailable, "the head in the store is malformed")
	}
	if h.Revision < 1 || len(h.Edits) == 0 || h.Edits[len(h.Edits)-1].Revision != h.Revision {
		return Head{}, fault.New(fault.StoreUnavailable, "the head in the store is inconsistent: its revision and its newest edit do not match")
	}
	return h, nil
}

// StoredHead is a head as read from the store, with the indexes for a watch and a
// compare-and-swap. Head is its zero value if the store has no head.
type StoredHead struct {
	Head        Head
	ModifyIndex keyvalue.Index // ModifyIndex of the key; 0 if the key does not exist.
	WatchIndex  keyvalue.Index
}

// ReadHead reads the head from the store.
func ReadHead(ctx context.Context, c *keyvalue.Client) (StoredHead, error) {
	l, err := c.Get(ctx, HeadKey)
	if err != nil {
		return StoredHead{}, err
	}
	return decodeStoredHead(l)
}

// WatchHead returns the head when its index exceeds after, or when wait has
// passed.
func WatchHead(ctx context.Context, c *keyvalue.Client, after keyvalue.Index, wait time.Duration) (StoredHead, error) {
	l, err := c.Watch(ctx, HeadKey, after, wait)
	if err != nil {
		return StoredHead{}, err
	}
	return decodeStoredHead(l)
}

// decodeStoredHead decodes the store's response to a read of HeadKey.
func decodeStoredHead(l keyvalue.Listing) (StoredHead, error) {
	s := StoredHead{WatchIndex: l.Index}
	e, found := l.FirstEntry()
	if !found {
		return s, nil
	}
	h, err := DecodeHead(e.Value)
	if err != nil {
		return StoredHead{}, err
	}
	s.Head, s.ModifyIndex = h, e.ModifyIndex
	return s, nil
}

// ReadSnapshot reads the text of a head's newest revision from the store and
// checks its digest.
func ReadSnapshot(ctx context.Context, c *keyvalue.Client, h Head, now time.Time) (*Snapshot, error) {
	l, err := c.Get(ctx, textPrefix+h.NewestEditID())
	if err != nil {
		return nil, err
	}
	e, found := l.FirstEntry()
	if !found {
		return nil, fault.New(fault.StoreUnavailable, "the store has no text for revision %d", h.Revision)
	}
	raw, err := Unpack(e.Value)
	if err != nil {
		return nil, err
	}
	s, err := NewSnapshot(h.Revision, h.NewestEditID(), raw, now)
	if err != nil {
		return nil, err
	}
	if s.Digest != h.Digest {
		return nil, fault.New(fault.StoreUnavailable, "the digest of the text of revision %d differs from the digest in the head", h.Revision)
	}
	return s, nil
}

// NewSnapshot parses and checks a text and returns its snapshot. Errors have kind
// BadText.
func NewSnapshot(revision ident.Revision, editID string, raw []byte, now time.Time) (*Snapshot, error) {
	if revision < 1 || editID == "" {
		return nil, fault.New(fault.BadText, "revision %d with edit id %q is invalid", revision, editID)
	}
	t, err := text.ParseValid(raw)
	if err != nil {
		return nil, err
	}
	return &Snapshot{
		Revision: revision, EditID: editID, Raw: raw, Digest: textDigest(raw), Text: t, Received: now,
	}, nil
}

// textDigest returns the SHA-256 of a text in hex.
func textDigest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Pack compresses a text for the store and for transfer between instances.
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

// Unpack reverses Pack. It returns an error if the text is larger than
// text.MaxBytes.
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
