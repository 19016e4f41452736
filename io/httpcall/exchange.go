package httpcall

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/fault"
	"monsoonfork/io/http1"
)

// exchange buffers the response of a call. The poller fills it through the methods of
// nbhttp.Processor; Do removes fragments of the body from it. The parser continues behind the
// end of the response: what follows it is another response, which belongs to no call.
type exchange struct {
	*nbhttp.EmptyProcessor
	call     Call
	maxBytes int
	changed  chan struct{} // Holds an element after a change.

	readMu    sync.Mutex // Held while the connection is read and parsed.
	paused    bool       // The connection is not read, as enough is buffered.
	headLines headLines
	chunks    http1.ChunkedBody

	mu            sync.Mutex
	head          endpoint.Head
	headBytes     int  // Bytes read until the read in which the headers are complete.
	headComplete  bool // The headers are complete.
	chunked       bool
	bodyBytes     int
	fragments     [][]byte
	bufferedBytes int // Total length of fragments.
	complete      bool
	err           *fault.Error
	lastReadAt    time.Time // When bytes were last read; zero before the first.
}

// newExchange returns the exchange of a call whose response may have at most maxBytes.
func newExchange(call Call, maxBytes int) *exchange {
	return &exchange{
		EmptyProcessor: &nbhttp.EmptyProcessor{},
		call:           call,
		maxBytes:       maxBytes,
		changed:        make(chan struct{}, 1),
		head:           endpoint.Head{Header: http.Header{}},
	}
}

// signal wakes up Do.
func (x *exchange) signal() {
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// recordRead records when bytes were read. Do computes the end of Limits.ReadTimeout from
// it. It reports whether the head is still small enough for them to be parsed.
func (x *exchange) recordRead(n int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastReadAt = time.Now()
	if x.headComplete {
		return true
	}
	if x.headBytes >= maxHeadBytes {
		x.fail(headTooLargeError())
		x.signal()
		return false
	}
	x.headBytes += n
	return true
}

// reject ends the exchange with an error, unless it has ended.
func (x *exchange) reject(err *fault.Error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.complete {
		return
	}
	x.fail(err)
	x.signal()
}

// OnStatus implements nbhttp.Processor.
func (x *exchange) OnStatus(_ *nbhttp.Parser, code int, _ string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.headComplete {
		return
	}
	x.head.Status = code
}

// OnHeader implements nbhttp.Processor.
func (x *exchange) OnHeader(_ *nbhttp.Parser, key, value string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.headComplete { // Do reads the head without the lock from here on.
		return
	}
	x.head.Header.Add(key, value)
	if key == "Transfer-Encoding" && strings.EqualFold(value, "chunked") {
		x.chunked = true
	}
}

// OnContentLength implements nbhttp.Processor. The parser calls it at the end of the headers
// of each response.
func (x *exchange) OnContentLength(_ *nbhttp.Parser, n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.headComplete {
		return
	}
	if err := checkStatus(x.head.Status); err != nil {
		x.fail(err)
		x.signal()
		return
	}
	x.headComplete = true
	switch {
	case x.hasNoBody():
		// The parser would wait for a body of the length in Content-Length.
		x.complete = true
	case n < 0 && !x.chunked:
		// The parser treats a response delimited by the end of its connection as
		// empty, so a complete one can't be distinguished from a truncated one.
		x.fail(fault.New(fault.AnswerBroken, "the response has neither Content-Length nor chunked coding"))
	case n > x.maxBytes:
		x.fail(fault.New(fault.AnswerBroken, "the response is larger than %d bytes", x.maxBytes))
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
	x.bufferedBytes += len(data)
	if x.bufferedBytes > x.maxBytes {
		x.fail(fault.New(fault.AnswerBroken, "the response is larger than %d bytes", x.maxBytes))
		return x.err
	}
	x.fragments = append(x.fragments, append([]byte(nil), data...))
	x.signal()
	return nil
}

// OnComplete implements nbhttp.Processor.
func (x *exchange) OnComplete(_ *nbhttp.Parser) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.err == nil {
		x.complete = true
	}
	x.signal()
}

// Close implements nbhttp.Processor. It is called when the connection is closed.
func (x *exchange) Close(_ *nbhttp.Parser, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.complete || x.err != nil {
		return
	}
	if !x.headComplete {
		x.fail(fault.Wrap(orEOF(err), fault.EndpointFailed, "the endpoint closed the connection without a response"))
	} else {
		x.fail(fault.Wrap(orEOF(err), fault.AnswerBroken, "the endpoint closed the connection within its response"))
	}
	x.signal()
}

// fail sets the error of the exchange, unless it has one. The caller must hold mu.
func (x *exchange) fail(err *fault.Error) {
	if x.err == nil {
		x.err = err
	}
}

// hasNoBody reports whether the response has no body by the rules of HTTP, whatever its
// Content-Length says. The caller must hold mu.
func (x *exchange) hasNoBody() bool {
	if x.call.Method == http.MethodHead {
		return true
	}
	return x.head.Status == http.StatusNoContent || x.head.Status == http.StatusNotModified
}

const (
	// minStatus and maxStatus are the bounds of the statuses of HTTP.
	minStatus = 100
	maxStatus = 599
)

// checkStatus returns an error of kind AnswerBroken for a status that is no answer to a call: one that
// HTTP does not have, or a change to another protocol, which no call asks for.
func checkStatus(status int) *fault.Error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fault.New(fault.AnswerBroken, "the response has status %d, which is no answer", status)
	}
	return nil
}

// isInterim reports whether a status is that of an interim (1xx) response, which a final
// response follows.
func isInterim(status int) bool { return status >= 100 && status < 200 }

// responseUpdate is the part of a response that takeReceived returns.
type responseUpdate struct {
	head       *endpoint.Head // Set once, when the headers are complete.
	fragments  [][]byte
	complete   bool
	err        *fault.Error
	lastReadAt time.Time
}

// takeReceived removes and returns what has arrived since its last call. The head is
// included only if headDelivered is false.
func (x *exchange) takeReceived(headDelivered bool) responseUpdate {
	x.mu.Lock()
	defer x.mu.Unlock()
	update := responseUpdate{fragments: x.fragments, complete: x.complete, err: x.err, lastReadAt: x.lastReadAt}
	x.fragments, x.bufferedBytes = nil, 0
	if x.headComplete && !headDelivered {
		update.head = &endpoint.Head{Status: x.head.Status, Header: x.head.Header}
	}
	return update
}
