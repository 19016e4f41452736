package httpcall

import (
	"bytes"
	"fmt"
	"slices"

	"monsoonfork/io/http1"
)

// headLines checks the head of a response and rewrites its lines for the parser of nbhttp, which needs a
// reason phrase, takes a tab around a value for a part of it, waits for a body of interim responses, and
// requires just the trailers that the head names.
type headLines struct {
	check http1.ResponseHead
	line  []byte // What has arrived of the current line.
}

// ended reports whether the head of the final response has ended.
func (h *headLines) ended() bool { return h.check.Ended() }

// isChunked reports whether the body of the response is chunked.
func (h *headLines) isChunked() bool { return h.check.IsChunked() }

// next takes bytes up to the end of the current line from data. It returns the line as it is to be
// parsed, nil if it is incomplete or the parser does not get it, and the remaining bytes. The line is valid
// until the next call.
func (h *headLines) next(data []byte) (line, rest []byte, problem http1.Problem) {
	if bytes.HasSuffix(h.line, []byte("\n")) {
		h.line = h.line[:0]
	}
	isStatusLine, isInterim := h.check.InStatusLine(), h.check.IsInterim()
	n, problem := h.check.CheckLine(data)
	if problem != http1.NoProblem {
		return nil, nil, problem
	}
	h.line, rest = append(h.line, data[:n]...), data[n:]
	switch {
	case data[n-1] != '\n', isInterim, h.check.IsInterim():
		return nil, rest, http1.NoProblem
	case isTrailerField(h.line):
		return nil, rest, http1.NoProblem
	case isStatusLine:
		return fmt.Appendf(nil, "HTTP/1.1 %03d OK\r\n", h.check.Status()), rest, http1.NoProblem
	}
	return trimField(h.line), rest, http1.NoProblem
}

// isTrailerField reports whether a line names the fields of the trailer section, which the parser does
// not get.
func isTrailerField(line []byte) bool {
	name, _, isField := bytes.Cut(line, []byte(":"))
	return isField && bytes.EqualFold(name, []byte("Trailer"))
}

// trimField returns a field line without the blanks around its value, or an empty line.
func trimField(line []byte) []byte {
	name, value, isField := bytes.Cut(line, []byte(":"))
	if !isField {
		return []byte("\r\n")
	}
	value = bytes.Trim(value, " \t\r\n")
	return slices.Concat(name, []byte(":"), value, []byte("\r\n"))
}
