package spread

import (
	"sync"

	"github.com/klauspost/compress/zstd"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// maxUnpacked bounds a configuration that a peer sends, in bytes.
const maxUnpacked = 8 << 20

var (
	// The options are valid, so that neither fails.
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpacked))
)

// packed is a configuration as it is sent, which is made once for all that ask.
type packed struct {
	mu      sync.Mutex
	version ident.Revision
	bytes   []byte
}

// of returns the configuration of a version.
func (p *packed) of(v ident.Revision, config func() []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version != v {
		p.version, p.bytes = v, encoder.EncodeAll(config(), nil)
	}
	return p.bytes
}

// unpack returns a configuration that a peer has sent. The error has kind BadText.
func unpack(b []byte) ([]byte, error) {
	raw, err := decoder.DecodeAll(b, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadText, "a configuration of a peer can't be unpacked")
	}
	return raw, nil
}
