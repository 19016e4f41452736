package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// readFinal reads the head of the final response with net/http.
func readFinal(data []byte) (*http.Response, error) {
	br := bufio.NewReader(bytes.NewReader(data))
	for {
		res, err := http.ReadResponse(br, nil)
		if err != nil || res.StatusCode < 100 || res.StatusCode >= 200 || res.StatusCode == http.StatusSwitchingProtocols {
			return res, err
		}
	}
}

// FuzzResponseHead guards against a head that the check accepts, and that net/http rejects or reads
// with another status, length or coding, or with a malformed name.
func FuzzResponseHead(f *testing.F) {
	for text := range heads {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var h ResponseHead
		if h.Check(data) != NoProblem || !h.Ended() {
			return
		}
		res, err := readFinal(data)
		if err != nil {
			t.Fatalf("%q is accepted; net/http: %v", data, err)
		}
		isChunked := len(res.TransferEncoding) > 0
		if res.StatusCode != h.status.status || res.ProtoMajor != 1 || res.ProtoMinor != h.status.minor || isChunked != h.framing.isChunked {
			t.Errorf("%q: net/http reads status %d, HTTP/%d.%d, coding %v; checked %+v", data, res.StatusCode, res.ProtoMajor, res.ProtoMinor, res.TransferEncoding, h)
		}
		for _, value := range res.Header.Values("Content-Length") {
			if !h.framing.length.equals([]byte(value)) {
				t.Errorf("%q: net/http reads the length %q, checked %q", data, value, h.framing.length.bytes)
			}
		}
		for name := range res.Header {
			if !IsName(name) {
				t.Errorf("%q: net/http reads the name %q", data, name)
			}
		}
	})
}
