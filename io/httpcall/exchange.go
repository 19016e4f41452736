package httpcall

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"monsoonfork/core/fault"
)

// exchange collects one answer. The poller fills it through the methods of
// nbhttp.Processor; Do takes pieces out of it.
type exchange struct {
	*nbhttp.EmptyProcessor
	call     Call
	maxBytes int
	ready    chan struct{} // Holds one element when something changed.

	mu        sync.Mutex
	head      Head
	haveHead  bool // The headers are complete.
	chunked   bool
	length    int // Content-Length, -1 if there is none.
	bodyBytes int
	pieces    [][]byte
	waiting   int // Bytes in pieces.
	complete  bool
	err       *fault.Error
	lastByte  time.Time // When the last byte came; zero before the first.
}

// newExchange returns an empty exchange.
func newExchange(call Call, maxBytes int) *exchange {
	return &exchange{
		EmptyProcessor: &nbhttp.EmptyProcessor{},
		call:           call,
		maxBytes:       maxBytes,
		ready:          make(chan struct{}, 1),
		head:           Head{Header: http.Header{}},
	}
}

// signal wakes Do.
func (x *exchange) signal() {
	select {
	case x.ready <- struct{}{}:
	default:
	}
}

// touch records that bytes came. Do looks at it when a limit passes.
func (x *exchange) touch() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastByte = time.Now()
}

// OnStatus implements nbhttp.Processor.
func (x *exchange) OnStatus(_ *nbhttp.Parser, code int, _ string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.head.Status = code
}

// OnHeader implements nbhttp.Processor.
func (x *exchange) OnHeader(_ *nbhttp.Parser, key, value string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.head.Header.Add(key, value)
	if key == "Transfer-Encoding" && strings.EqualFold(strings.TrimSpace(value), "chunked") {
		x.chunked = true
	}
}

// OnContentLength implements nbhttp.Processor. The parser calls it once, at the
// end of the headers.
func (x *exchange) OnContentLength(_ *nbhttp.Parser, n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if interim(x.head.Status) {
		return
	}
	x.length = n
	x.haveHead = true
	switch {
	case x.bodyless():
		// The parser would wait for the bytes that Content-Length names.
		x.complete = true
	case n < 0 && !x.chunked:
		// The parser takes an answer that ends with its connection as empty,
		// so that its end can't be told from a cut.
		x.fail(fault.New(fault.AnswerBroken, "the answer has neither a length nor chunks"))
	case n > x.maxBytes:
		x.fail(fault.New(fault.AnswerBroken, "the answer is larger than %d bytes", x.maxBytes))
	}
	x.signal()
}

// OnBody implements nbhttp.Processor.
func (x *exchange) OnBody(_ *nbhttp.Parser, data []byte) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.complete || x.err != nil {
		return nil
	}
	x.bodyBytes += len(data)
	x.waiting += len(data)
	if x.waiting > x.maxBytes {
		x.fail(fault.New(fault.AnswerBroken, "the answer is larger than %d bytes", x.maxBytes))
		return x.err
	}
	x.pieces = append(x.pieces, append([]byte(nil), data...))
	x.signal()
	return nil
}

// OnComplete implements nbhttp.Processor.
func (x *exchange) OnComplete(_ *nbhttp.Parser) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if interim(x.head.Status) {
		x.head = Head{Header: http.Header{}}
		return
	}
	if x.err == nil {
		x.complete = true
	}
	x.signal()
}

// Close implements nbhttp.Processor. It is called when the connection ends.
func (x *exchange) Close(_ *nbhttp.Parser, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.complete || x.err != nil {
		return
	}
	if !x.haveHead {
		x.fail(fault.Wrap(orEOF(err), fault.EndpointFailed, "the endpoint closed the connection without an answer"))
	} else {
		x.fail(fault.Wrap(orEOF(err), fault.AnswerBroken, "the endpoint cut its answer"))
	}
	x.signal()
}

// fail sets the error of the exchange. The caller holds mu.
func (x *exchange) fail(err *fault.Error) {
	if x.err == nil {
		x.err = err
	}
}

// bodyless reports whether the answer has no body by the rules of HTTP. The
// caller holds mu.
func (x *exchange) bodyless() bool {
	if x.call.Method == http.MethodHead {
		return true
	}
	return x.head.Status == http.StatusNoContent || x.head.Status == http.StatusNotModified
}

// interim reports whether a status announces another answer.
func interim(status int) bool { return status >= 100 && status < 200 }

// step is what take found.
type step struct {
	head     *Head // Set once, when the headers are complete.
	pieces   [][]byte
	complete bool
	err      *fault.Error
	lastByte time.Time
}

// take removes what is there. headTaken says whether the head was taken.
func (x *exchange) take(headTaken bool) step {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := step{pieces: x.pieces, complete: x.complete, err: x.err, lastByte: x.lastByte}
	x.pieces, x.waiting = nil, 0
	if x.haveHead && !headTaken {
		s.head = &Head{Status: x.head.Status, Header: x.head.Header}
	}
	return s
}
