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

// failingReader returns the bytes of first and then fails with err.
type failingReader struct {
	first io.Reader
	err   error
}

// Read implements io.Reader.
func (r failingReader) Read(p []byte) (int, error) {
	n, err := r.first.Read(p)
	if err == io.EOF {
		err = r.err
	}
	return n, err
}

// A request body that cannot be read completely, or is too large, gives an error that
// says that the call was not executed.
func TestReadBodyErrors(t *testing.T) {
	tests := []struct {
		name string
		body io.Reader
		kind fault.Kind
	}{
		{"body that exceeds the read timeout", failingReader{strings.NewReader("Domains: "), os.ErrDeadlineExceeded}, fault.RequestTimeout},
		{"body that breaks off", failingReader{strings.NewReader("Domains: "), io.ErrUnexpectedEOF}, fault.BadRequest},
		{"body that is too large", strings.NewReader(strings.Repeat("#", maxBodyBytes+1)), fault.RequestTooLarge},
	}
	for _, test := range tests {
		raw, err := readBody(httptest.NewRequest(http.MethodPost, "/plan", test.body))
		if raw != nil || !fault.Is(err, test.kind) || fault.From(err).Ran != fault.NotRun {
			t.Errorf("%s: %d bytes, %v, want %v and not run", test.name, len(raw), err, test.kind)
		}
	}
}
