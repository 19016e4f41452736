package httpcall

import (
	"strings"
	"testing"

	"monsoonfork/core/fault"
)

// chunkedAnswer returns a response to the call r whose body is chunked, with further lines in its head.
func chunkedAnswer(lines, body string) string {
	return "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nTransfer-Encoding: chunked\r\n" + lines + "\r\n" + body
}

// malformedChunks are responses to the call r whose chunked body has a line that HTTP does not allow.
var malformedChunks = map[string]string{
	"space in a size":                   chunkedAnswer("", "0 2\r\n\r\nok\r\n0\r\n\r\n"),
	"tab in a size":                     chunkedAnswer("", "0\t2\r\n\r\nok\r\n0\r\n\r\n"),
	"prefix of a size":                  chunkedAnswer("", "0x2\r\n\r\nok\r\n0\r\n\r\n"),
	"text after a size":                 chunkedAnswer("", "2ok\r\nok\r\n0\r\n\r\n"),
	"sign before a size":                chunkedAnswer("", "+2\r\nok\r\n0\r\n\r\n"),
	"space before a size":               chunkedAnswer("", " 2\r\nok\r\n0\r\n\r\n"),
	"no size":                           chunkedAnswer("", "\r\nok\r\n0\r\n\r\n"),
	"size above all numbers":            chunkedAnswer("", "10000000000000002\r\nok\r\n0\r\n\r\n"),
	"text after a chunk":                chunkedAnswer("", "2\r\nokay\r\n0\r\n\r\n"),
	"space in the name of a trailer":    chunkedAnswer("", "2\r\nok\r\n0\r\nX T: 1\r\n\r\n"),
	"space before a colon":              chunkedAnswer("Trailer: X-T\r\n", "2\r\nok\r\n0\r\nX-T : 1\r\n\r\n"),
	"control byte in a trailer":         chunkedAnswer("Trailer: X-T\r\n", "2\r\nok\r\n0\r\nX-T: \x01\r\n\r\n"),
	"trailer without a colon":           chunkedAnswer("", "2\r\nok\r\n0\r\nX-T\r\n\r\n"),
	"trailer section without its end":   chunkedAnswer("", "2\r\nok\r\n0\r\nX-T: 1\r\n"),
	"last chunk without the empty line": chunkedAnswer("", "2\r\nok\r\n0\r\n"),
}

// soundChunks are unusual responses to the call r, with the body ok, that HTTP allows.
var soundChunks = map[string]string{
	"extension":                    chunkedAnswer("", "2;a=b\r\nok\r\n0;c\r\n\r\n"),
	"blanks after a size":          chunkedAnswer("", "2 \t\r\nok\r\n0\r\n\r\n"),
	"leading zeros":                chunkedAnswer("", "0002\r\nok\r\n000\r\n\r\n"),
	"two chunks":                   chunkedAnswer("", "1\r\no\r\n1\r\nk\r\n0\r\n\r\n"),
	"declared trailer":             chunkedAnswer("Trailer: X-T\r\n", "2\r\nok\r\n0\r\nX-T: 1 2\r\n\r\n"),
	"declared and empty trailer":   chunkedAnswer("Trailer: X-T\r\n", "2\r\nok\r\n0\r\nX-T:\r\n\r\n"),
	"declared and missing trailer": chunkedAnswer("Trailer: X-T\r\n", "2\r\nok\r\n0\r\n\r\n"),
	"trailers that no field names": chunkedAnswer("", "2\r\nok\r\n0\r\nX-T: 1\r\nX-U: \xe9\r\n\r\n"),
}

// largeChunk is a chunk whose size has letters.
var largeChunk = strings.Repeat("x", 0xBEEF)

// checkChunks makes calls to an endpoint that sends malformed and sound chunked bodies.
func checkChunks(t *testing.T, caller doer) {
	for name, text := range malformedChunks {
		t.Run(name, func(t *testing.T) {
			if a, err := callEndpoint(t, caller, text); !fault.Is(err, fault.AnswerBroken) || fault.From(err).Ran != fault.MayHaveRun {
				t.Errorf("%q: body %q, %v; want AnswerBroken", text, a.body(), err)
			}
		})
	}
	for name, text := range soundChunks {
		t.Run(name, func(t *testing.T) {
			if a, err := callEndpoint(t, caller, text); err != nil || a.body() != "ok" {
				t.Errorf("%q: body %q, %v; want the body", text, a.body(), err)
			}
		})
	}
	t.Run("large chunk", func(t *testing.T) {
		a, err := callEndpoint(t, caller, chunkedAnswer("", "bEeF\r\n"+largeChunk+"\r\n0\r\n\r\n"))
		if err != nil || a.body() != largeChunk {
			t.Errorf("%d bytes, %v; want %d", len(a.body()), err, len(largeChunk))
		}
	})
}

// TestPoolChunkedBody guards against a chunked body that is cut by a size that is none, and against a
// trailer that ends a sound answer or whose malformed line is believed.
func TestPoolChunkedBody(t *testing.T) { checkChunks(t, newTestPool(t)) }

// TestClientChunkedBody is the same for a Client.
func TestClientChunkedBody(t *testing.T) { checkChunks(t, newClient(t)) }
