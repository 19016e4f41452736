package httpcall

import (
	"net"

	"monsoonfork/core/fault"
	"monsoonfork/io/http1"
)

// maxHeadBytes is the maximum size of the head of a response, together with the interim
// responses before it.
const maxHeadBytes = 64 << 10

// headReader reads from a connection. While a head is read it reads at most maxHeadBytes, and
// checks them.
type headReader struct {
	conn      net.Conn
	inHead    bool
	remaining int // Bytes that may still be read for the head.
	check     http1.ResponseHead
	err       *fault.Error // The head is malformed or larger than maxHeadBytes.
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.inHead {
		return r.conn.Read(p)
	}
	if r.err == nil && r.remaining == 0 {
		r.err = headTooLargeError()
	}
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.conn.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	if problem := r.check.Check(p[:n]); problem != http1.NoProblem {
		r.err = malformedError(problem)
		return 0, r.err
	}
	return n, err
}

// begin begins the head of a response.
func (r *headReader) begin() {
	r.inHead, r.remaining, r.check = true, maxHeadBytes, http1.ResponseHead{}
}

// end ends the head: bytes are read without a limit or a check from here on.
func (r *headReader) end() { r.inHead = false }

// headTooLargeError returns the error for a response whose head exceeds maxHeadBytes.
func headTooLargeError() *fault.Error {
	return fault.New(fault.AnswerBroken, "the head of the response is larger than %d bytes", maxHeadBytes)
}
