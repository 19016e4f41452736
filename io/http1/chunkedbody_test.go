package http1

import (
	"strings"
	"testing"
)

// chunkedBodies are chunked bodies and what is wrong with them.
var chunkedBodies = map[string]Problem{
	"2\r\nok\r\n0\r\n\r\n":                                 NoProblem,
	"00a\r\n\r\n0\r\n\r\n0\r\n\r\n0\r\n\r\n":               NoProblem,
	"2 \t;a=\"b\"; c\r\n\r\n\r\n0;d\r\nA: b\r\nC:\r\n\r\n": NoProblem,
	"\r\n0\r\n\r\n":                                        InvalidChunk,
	"1 0\r\nx\r\n0\r\n\r\n":                                InvalidChunk,
	"0x1\r\nx\r\n0\r\n\r\n":                                InvalidChunk,
	"1\nx\r\n0\r\n\r\n":                                    InvalidChunk,
	"1;\x00\r\nx\r\n0\r\n\r\n":                             InvalidChunk,
	"1\r\nxy\r\n0\r\n\r\n":                                 InvalidChunk,
	"1\r\nx\rx0\r\n\r\n":                                   InvalidChunk,
	"8000000000000000\r\nx\r\n":                            InvalidChunk,
	"0\r\nA : b\r\n\r\n":                                   BlankInName,
	"0\r\n\rA: b\r\n\r\n":                                  ControlCharacter,
	"1;" + strings.Repeat("x", maxChunkLine) + "\r\n":      InvalidChunk,
}

// TestChunkedBody checks each body in parts of each size. A body ends with its trailer section,
// whatever follows it.
func TestChunkedBody(t *testing.T) {
	for text, want := range chunkedBodies {
		for size := 1; size <= min(len(text), 64); size++ {
			var c ChunkedBody
			problem := NoProblem
			for data := text; len(data) > 0 && problem == NoProblem && !c.Ended(); {
				var n int
				n, problem = c.CheckPart([]byte(data[:min(size, len(data))]))
				data = data[n:]
			}
			if problem != want || c.Ended() != (want == NoProblem) {
				t.Fatalf("%.80q in parts of %d bytes: %v, ended %v; want %v", text, size, problem, c.Ended(), want)
			}
		}
	}
}
