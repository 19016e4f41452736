package operator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"monsoonfork/core/fault"
)

// brokenReader fails with an error after some bytes.
type brokenReader struct {
	first io.Reader
	err   error
}

// Read implements io.Reader.
func (r brokenReader) Read(p []byte) (int, error) {
	n, err := r.first.Read(p)
	if err == io.EOF {
		err = r.err
	}
	return n, err
}

func TestBodies(t *testing.T) {
	tests := []struct {
		name string
		body io.Reader
		kind fault.Kind
	}{
		{"slow", brokenReader{strings.NewReader("Domains: "), os.ErrDeadlineExceeded}, fault.RequestTimeout},
		{"broken", brokenReader{strings.NewReader("Domains: "), io.ErrUnexpectedEOF}, fault.BadRequest},
		{"huge", strings.NewReader(strings.Repeat("#", maxBodyBytes+1)), fault.RequestTooLarge},
	}
	for _, test := range tests {
		raw, err := readBody(httptest.NewRequest(http.MethodPost, "/plan", test.body))
		if raw != nil || !fault.Is(err, test.kind) || fault.From(err).Ran != fault.NotRun {
			t.Errorf("%s: %d bytes, %v, want %v and not run", test.name, len(raw), err, test.kind)
		}
	}
}
