package caller

import (
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
	if key == "Expect" && strings.EqualFold(value, "100-continue") {
		l.conn.reading.expects = true
	}
	l.Processor.OnHeader(p, key, value)
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
	l.conn.reading = reading{}
	if !l.conn.accept() {
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
