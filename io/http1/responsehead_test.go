package http1

import (
	"strings"
	"testing"
)

// heads are heads of responses and what is wrong with them.
var heads = map[string]Problem{
	"HTTP/1.1 200 OK\r\nA: b\r\n\r\n":                                                                      NoProblem,
	"HTTP/1.0 200\r\n\r\n":                                                                                 NoProblem,
	"HTTP/1.1 200 \nA:\nB: \xff\t\n\n":                                                                     NoProblem,
	"HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 404 No\r\n\r\n":                                         NoProblem,
	"HTTP/1.1 101 Switching\r\n\r\n":                                                                       NoProblem,
	"HTTP/1.1 200 OK\r\ncontent-length:\t 7 \t\r\nContent-Length: 7\r\n\r\n":                               NoProblem,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n":                                                NoProblem,
	"HTTP/1.1 200 OK\r\nA" + strings.Repeat("a", 99) + ": " + strings.Repeat("9", 99) + "\r\n\r\n":         NoProblem,
	"HTTP/2.0 200 OK\r\n\r\n":                                                                              UnknownVersion,
	"HTTP/1.x 200 OK\r\n\r\n":                                                                              InvalidStatusLine,
	"HTTP/1.1  200 OK\r\n\r\n":                                                                             InvalidStatusLine,
	"HTTP/1.1 2000\r\n\r\n":                                                                                InvalidStatusLine,
	"\r\nHTTP/1.1 200 OK\r\n\r\n":                                                                          InvalidStatusLine,
	"HTTP/1.1 200 O\x00K\r\n\r\n":                                                                          ControlCharacter,
	"HTTP/1.1 200 OK\r\r\n\r\n":                                                                            ControlCharacter,
	"HTTP/1.1 200 OK\r\nA\x00: b\r\n\r\n":                                                                  ControlCharacter,
	"HTTP/1.1 200 OK\r\nA: b\x7f\r\n\r\n":                                                                  ControlCharacter,
	"HTTP/1.1 200 OK\r\nA: b\rC: d\r\n\r\n":                                                                ControlCharacter,
	"HTTP/1.1 200 OK\r\n\rA: b\r\n\r\n":                                                                    ControlCharacter,
	"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n":                                                                FoldedLine,
	"HTTP/1.1 200 OK\r\nA : b\r\n\r\n":                                                                     BlankInName,
	"HTTP/1.1 200 OK\r\nA\tb: c\r\n\r\n":                                                                   BlankInName,
	"HTTP/1.1 200 OK\r\n: b\r\n\r\n":                                                                       InvalidName,
	"HTTP/1.1 200 OK\r\nA\xe9: b\r\n\r\n":                                                                  InvalidName,
	"HTTP/1.1 200 OK\r\nA\r\n\r\n":                                                                         MissingColon,
	"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n":                                                        InvalidLength,
	"HTTP/1.1 200 OK\r\nContent-Length: 1 2\r\n\r\n":                                                       InvalidLength,
	"HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\n\r\n":                                                      InvalidLength,
	"HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("9", 99) + "\r\n\r\n":                           InvalidLength,
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":                                    ConflictingLengths,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n":                                          UnknownCoding,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n":                  UnknownCoding,
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":                           CodingWithLength,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n":                           CodingWithLength,
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                                                CodingInHTTP10,
	"HTTP/1.1 103 Hints\r\nContent-Length: 1\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n": NoProblem,
}

// TestResponseHead checks each head in parts of each size: a line may arrive in any of them. A head
// ends with its empty line, whatever follows it.
func TestResponseHead(t *testing.T) {
	for text, want := range heads {
		for size := 1; size <= len(text); size++ {
			var h ResponseHead
			problem := NoProblem
			for data := text + "\x00 body"; len(data) > 0 && problem == NoProblem && !h.Ended(); {
				n := min(size, len(data))
				problem, data = h.Check([]byte(data[:n])), data[n:]
			}
			if problem != want || h.Ended() != (want == NoProblem) {
				t.Fatalf("%q in parts of %d bytes: %v, ended %v; want %v", text, size, problem, h.Ended(), want)
			}
		}
	}
}

// TestIncompleteHead checks that a head without its empty line has not ended.
func TestIncompleteHead(t *testing.T) {
	const text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	for end := range len(text) {
		var h ResponseHead
		if problem := h.Check([]byte(text[:end])); problem != NoProblem || h.Ended() {
			t.Errorf("%q: %v, ended %v", text[:end], problem, h.Ended())
		}
	}
}

// BenchmarkResponseHead measures the check of a head of usual size.
func BenchmarkResponseHead(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 02:40:00 GMT\r\nContent-Type: application/json\r\n" +
		"X-Instance-Id: i-7f3a91c2\r\nKeep-Alive: timeout=12\r\nContent-Length: 2\r\n\r\n")
	b.SetBytes(int64(len(head)))
	b.ReportAllocs()
	for b.Loop() {
		var h ResponseHead
		if problem := h.Check(head); problem != NoProblem {
			b.Fatal(problem)
		}
	}
}
