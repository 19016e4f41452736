package config

import (
	"bytes"

	"github.com/klauspost/compress/zstd"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// keptEarlier is the number of earlier texts that a holder keeps as bases of
// deltas.
const keptEarlier = 4

// Earlier is the text of an earlier revision.
type Earlier struct {
	Revision ident.Revision
	Raw      []byte
}

// deltaMagic begins each delta, as it begins each Zstandard frame (RFC 8878).
var deltaMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// dictionaryID names the base of a delta in the frame. Whether the base was the
// right one is shown by the digest of the result.
func dictionaryID(revision ident.Revision) uint32 { return uint32(revision) }

// PackDelta compresses a text against an earlier one that the receiver has.
func PackDelta(raw []byte, base Earlier) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderDictRaw(dictionaryID(base.Revision), base.Raw))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "compress the text against revision %d", base.Revision)
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(raw, nil), nil
}

// UnpackFrom reverses Pack, and PackDelta if base is the text that the delta
// was made against.
func UnpackFrom(packed []byte, base Earlier) ([]byte, error) {
	if !bytes.HasPrefix(packed, deltaMagic) {
		return Unpack(packed)
	}
	if base.Revision == 0 {
		return nil, fault.New(fault.BadText, "the packed text needs an earlier text")
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(text.MaxBytes),
		zstd.WithDecoderDictRaw(dictionaryID(base.Revision), base.Raw))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "read a text packed against revision %d", base.Revision)
	}
	defer decoder.Close()
	raw, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadText, "the packed text is malformed, or made against another text than revision %d", base.Revision)
	}
	return raw, nil
}
