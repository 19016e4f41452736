package caller

import (
	"bytes"
	"strings"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"monsoonfork/core/fault"
)

// requestProgress is the state of the request being read.
type requestProgress struct {
	started             bool
	limits              Limits    // Those when the first byte arrived.
	bodyDeadline        time.Time // When the request must be complete.
	headersComplete     bool
	unparsedHeaderBytes int  // Bytes received before the headers were complete.
	headerBytes         int  // Size of the request target and headers parsed.
	bodyBytes           int  // Size of the body parsed, without chunk framing.
	expectsContinue     bool // The caller sent "Expect: 100-continue".
	closeRequested      bool // The caller sent "Connection: close".
	headers             headerChecker
	contentLengths      int  // Number of Content-Length headers.
	chunked             bool // The request has a Transfer-Encoding.
	bodyLength          int  // Content-Length; negative if unknown.
	parsedBodyBytes     int  // Bytes passed to the parser after the headers.
	bufferedBodyBytes   int  // Those that the parser has buffered, as their chunk or the body is incomplete.
}

// segmentLen returns the number of bytes at the start of data that belong to the same
// line, or to the rest of a body of known length.
func (r *requestProgress) segmentLen(data []byte) int {
	if r.headersComplete && !r.chunked {
		// At least one byte: the final line feed of the headers may still be missing.
		return min(max(r.bodyLength-r.parsedBodyBytes, 1), len(data))
	}
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1
	}
	return len(data)
}

// headerOverhead is the size of a header line beyond its name and value.
const headerOverhead = len(": \r\n")

// limiter wraps the server processor of nbhttp and enforces size limits. nbhttp itself
// limits neither the size of headers nor the time to read a request.
type limiter struct {
	nbhttp.Processor
	conn *conn
}

// OnURL implements nbhttp.Processor.
func (l *limiter) OnURL(p *nbhttp.Parser, uri string) error {
	l.countHeaderBytes(len(uri))
	return l.Processor.OnURL(p, uri)
}

// OnHeader implements nbhttp.Processor.
func (l *limiter) OnHeader(p *nbhttp.Parser, key, value string) {
	l.countHeaderBytes(len(key) + len(value) + headerOverhead)
	if !l.conn.reserveInput(requestSize{state: headerLineBytes}) {
		return // The request is rejected.
	}
	value = strings.Trim(value, " \t")
	l.checkBodyLength(key)
	if key == "Expect" && strings.EqualFold(value, "100-continue") {
		l.conn.progress.expectsContinue = true
	}
	if key == "Connection" && strings.EqualFold(value, "close") {
		l.conn.progress.closeRequested = true
	}
	l.Processor.OnHeader(p, key, value)
}

// checkBodyLength rejects a request with conflicting body lengths (several
// Content-Length headers, or one beside Transfer-Encoding): an intermediary may use the
// other length, which would allow request smuggling.
func (l *limiter) checkBodyLength(key string) {
	r := &l.conn.progress
	switch key {
	case "Content-Length":
		r.contentLengths++
	case "Transfer-Encoding":
		r.chunked = true
	default:
		return
	}
	if r.contentLengths > 1 || (r.contentLengths > 0 && r.chunked) {
		l.conn.reject(fault.New(fault.BadRequest, "malformed HTTP request: conflicting body lengths"))
	}
}

// countHeaderBytes adds n to the size of the headers and rejects the request above the
// limit.
func (l *limiter) countHeaderBytes(n int) {
	l.conn.progress.headerBytes += n
	if l.conn.progress.headerBytes > l.conn.progress.limits.MaxHeaderBytes {
		l.conn.reject(fault.New(fault.RequestTooLarge, "headers larger than %d bytes", l.conn.progress.limits.MaxHeaderBytes))
	}
}

// OnContentLength implements nbhttp.Processor. The parser calls it at the end
// of the headers.
func (l *limiter) OnContentLength(p *nbhttp.Parser, n int) {
	l.conn.progress.headersComplete = true
	l.conn.progress.bodyLength = n
	if n > l.conn.progress.limits.MaxBodyBytes {
		l.conn.reject(bodyTooLarge(l.conn.progress.limits))
	}
	l.conn.startBody()
	l.Processor.OnContentLength(p, n)
	if l.conn.progress.expectsContinue && !l.conn.isRejected() {
		_, _ = l.conn.unsent.writeTo(l.conn.nbc, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// OnBody implements nbhttp.Processor.
func (l *limiter) OnBody(p *nbhttp.Parser, data []byte) error {
	l.conn.progress.bodyBytes += len(data)
	l.conn.progress.bufferedBodyBytes = 0
	if l.conn.progress.bodyBytes > l.conn.progress.limits.MaxBodyBytes {
		l.conn.reject(bodyTooLarge(l.conn.progress.limits))
		return nbhttp.ErrTooLong
	}
	return l.Processor.OnBody(p, data)
}

// OnComplete implements nbhttp.Processor. It starts the handler, unless the request
// was rejected.
func (l *limiter) OnComplete(p *nbhttp.Parser) {
	closeRequested := l.conn.progress.closeRequested
	l.conn.progress = requestProgress{}
	if !l.conn.accept(closeRequested) {
		l.Clean(p)
		return
	}
	l.Processor.OnComplete(p)
}

// isRejected reports whether the request being read was rejected.
func (c *conn) isRejected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejection != nil
}

// bodyTooLarge returns the rejection of a body above the limit.
func bodyTooLarge(l Limits) *fault.Error {
	return fault.New(fault.RequestTooLarge, "body larger than %d bytes", l.MaxBodyBytes)
}
