package replication

import (
	"sync"

	"github.com/klauspost/compress/zstd"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// maxConfigBytes bounds a configuration from a peer after decompression.
const maxConfigBytes = 8 << 20

var (
	// The errors are ignored: these options are valid.
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxConfigBytes))
)

// compressedConfig caches the compressed configuration, so that it is compressed once
// for all callers.
type compressedConfig struct {
	mu      sync.Mutex
	version ident.Revision
	bytes   []byte
}

// forVersion returns the compressed configuration of a version. config returns it
// uncompressed.
func (p *compressedConfig) forVersion(version ident.Revision, config func() []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version != version {
		p.version, p.bytes = version, encoder.EncodeAll(config(), nil)
	}
	return p.bytes
}

// decompress returns the configuration in a peer's reply. The error has kind BadText.
func decompress(b []byte) ([]byte, error) {
	raw, err := decoder.DecodeAll(b, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadText, "cannot decompress a configuration from a peer")
	}
	return raw, nil
}
