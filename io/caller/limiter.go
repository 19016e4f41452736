package caller

import (
	"bytes"
	"strings"

	"github.com/lesismal/nbio/nbhttp"

	"monsoonfork/core/fault"
)

// reading is the progress of the request being read.
type reading struct {
	started     bool
	headersDone bool
	unparsed    int // Bytes that came without completing the headers.
	headerBytes int
	bodyBytes   int
	expects     bool // The caller waits for "100 Continue".
	closes      bool // The caller wants the connection to end with the answer.
	lines       headerLines
	lengths     int  // Content-Length headers.
	chunked     bool // There is a Transfer-Encoding.
	length      int  // Of the body; below 0 if it is not known.
	given       int  // Bytes given to the parser after the headers.
}

// pieceOf returns how many bytes of data belong to the same part of a request: a
// line, or what is missing of a body.
func (r *reading) pieceOf(data []byte) int {
	if r.headersDone && !r.chunked {
		// At least one byte: the line feed that ends the headers may be missing.
		return min(max(r.length-r.given, 1), len(data))
	}
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1
	}
	return len(data)
}

// headerOverhead is what a header adds to the size of its name and value.
const headerOverhead = len(": \r\n")

// limiter is the library's server processor with limits. The library itself
// bounds neither headers nor the time of a request.
type limiter struct {
	nbhttp.Processor
	conn *conn
}

// OnURL implements nbhttp.Processor.
func (l *limiter) OnURL(p *nbhttp.Parser, uri string) error {
	l.count(len(uri))
	return l.Processor.OnURL(p, uri)
}

// OnHeader implements nbhttp.Processor.
func (l *limiter) OnHeader(p *nbhttp.Parser, key, value string) {
	l.count(len(key) + len(value) + headerOverhead)
	value = strings.Trim(value, " \t")
	l.checkLength(key)
	if key == "Expect" && strings.EqualFold(value, "100-continue") {
		l.conn.reading.expects = true
	}
	if key == "Connection" && strings.EqualFold(value, "close") {
		l.conn.reading.closes = true
	}
	l.Processor.OnHeader(p, key, value)
}

// checkLength refuses a request whose body has two lengths, as another program
// on the way may take the other one.
func (l *limiter) checkLength(key string) {
	r := &l.conn.reading
	switch key {
	case "Content-Length":
		r.lengths++
	case "Transfer-Encoding":
		r.chunked = true
	default:
		return
	}
	if r.lengths > 1 || (r.lengths > 0 && r.chunked) {
		l.conn.refuse(fault.New(fault.BadRequest, "malformed HTTP request: more than one length of the body"))
	}
}

// count adds to the size of the headers.
func (l *limiter) count(n int) {
	l.conn.reading.headerBytes += n
	if l.conn.reading.headerBytes > l.conn.limits.HeaderBytes {
		l.conn.refuse(fault.New(fault.RequestTooLarge, "headers above %d bytes", l.conn.limits.HeaderBytes))
	}
}

// OnContentLength implements nbhttp.Processor. The parser calls it at the end
// of the headers.
func (l *limiter) OnContentLength(p *nbhttp.Parser, n int) {
	l.conn.reading.headersDone = true
	l.conn.reading.length = n
	if n > l.conn.limits.BodyBytes {
		l.conn.refuse(tooLargeBody(l.conn.limits))
	}
	l.Processor.OnContentLength(p, n)
	if l.conn.reading.expects && !l.conn.refused() {
		_, _ = l.conn.nbc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// OnBody implements nbhttp.Processor.
func (l *limiter) OnBody(p *nbhttp.Parser, data []byte) error {
	l.conn.reading.bodyBytes += len(data)
	if l.conn.reading.bodyBytes > l.conn.limits.BodyBytes {
		l.conn.refuse(tooLargeBody(l.conn.limits))
		return nbhttp.ErrTooLong
	}
	return l.Processor.OnBody(p, data)
}

// OnComplete implements nbhttp.Processor. It starts the handler, unless the
// request is refused.
func (l *limiter) OnComplete(p *nbhttp.Parser) {
	closes := l.conn.reading.closes
	l.conn.reading = reading{}
	if !l.conn.accept(closes) {
		l.Clean(p)
		return
	}
	l.Processor.OnComplete(p)
}

// refused reports whether the request being read is refused.
func (c *conn) refused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusal != nil
}

// tooLargeBody returns the refusal of a body above the limit.
func tooLargeBody(l Limits) *fault.Error {
	return fault.New(fault.RequestTooLarge, "the body is above %d bytes", l.BodyBytes)
}
