package config

import (
	"bytes"

	"github.com/klauspost/compress/zstd"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// maxEarlierTexts is the number of earlier texts that a holder keeps as bases of
// deltas.
const maxEarlierTexts = 4

// EarlierText is the text of an earlier revision.
type EarlierText struct {
	Revision ident.Revision
	Raw      []byte
}

// zstdMagic is the magic number at the start of each Zstandard frame (RFC 8878),
// and so of each delta.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// dictionaryID returns the dictionary id that identifies the base of a delta in
// its frame. It is the revision truncated to 32 bits, so the receiver also checks the
// digest of the unpacked text.
func dictionaryID(revision ident.Revision) uint32 { return uint32(revision) }

// PackDelta compresses a text with an earlier text, which the receiver has, as
// dictionary.
func PackDelta(raw []byte, base EarlierText) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderDictRaw(dictionaryID(base.Revision), base.Raw))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "compress the text with revision %d as base", base.Revision)
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(raw, nil), nil
}

// UnpackWithBase reverses Pack and PackDelta. For a delta, base must be the text
// that the delta was made from; for other packed texts it is ignored.
func UnpackWithBase(packed []byte, base EarlierText) ([]byte, error) {
	if !bytes.HasPrefix(packed, zstdMagic) {
		return Unpack(packed)
	}
	if base.Revision == 0 {
		return nil, fault.New(fault.BadText, "the packed text is a delta, but its base is missing")
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(text.MaxBytes),
		zstd.WithDecoderDictRaw(dictionaryID(base.Revision), base.Raw))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "read a delta with revision %d as base", base.Revision)
	}
	defer decoder.Close()
	raw, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadText, "the delta is malformed, or its base is another text than revision %d", base.Revision)
	}
	return raw, nil
}
