package forward

import (
	"net/http"
	"testing"

	"monsoonfork/core/fault"
)

// sendHeadAndData sends an answer with a content type in one piece.
func sendHeadAndData(sink Sink, status int, contentType, data string) error {
	if err := sink.OnHead(Head{Status: status, Header: http.Header{"Content-Type": {contentType}}, Length: -1}); err != nil {
		return err
	}
	return sink.OnData([]byte(data))
}

// TestErrorDoesNotEnterBegunStream guards against the text of an engine's error in the middle of a
// stream that another engine had begun, and against the stream ending as if it were complete.
func TestErrorDoesNotEnterBegunStream(t *testing.T) {
	for name, second := range map[string]func(Sink) error{
		"error":               func(s Sink) error { return sendHeadAndData(s, 500, "text/plain", "internal error") },
		"error as events":     func(s Sink) error { return sendHeadAndData(s, 500, "text/event-stream", eventText(3)) },
		"not found":           func(s Sink) error { return sendHeadAndData(s, 404, "text/html", "<html>") },
		"success, no events":  func(s Sink) error { return sendHeadAndData(s, 200, "application/json", "{}") },
		"empty success":       func(s Sink) error { return s.OnHead(Head{Status: 204, Header: http.Header{}}) },
		"redirect":            func(s Sink) error { return sendHeadAndData(s, 302, "text/event-stream", eventText(3)) },
		"head without events": func(Sink) error { return errBroken },
	} {
		h := newStallHarness(t, 2)
		h.send = func(n int, _ Call, sink Sink) error {
			if n == 1 {
				_ = sendAnswer(sink, 200, eventText(1), eventText(2)+"id: 3\nda")
				return errBroken
			}
			return second(sink)
		}
		got := h.serve("resume")
		if want := eventText(1) + eventText(2); !got.aborted || got.body.String() != want {
			t.Errorf("%s: aborted %v, %q; want an aborted answer with %q", name, got.aborted, got.body.String(), want)
		}
	}
}

// TestStreamThatEndsInsideEventIsBroken guards against a stream that ends in the middle of an event
// being taken for complete, as when an answer without a length or chunks ends with its connection.
func TestStreamThatEndsInsideEventIsBroken(t *testing.T) {
	partial := "id: 2\ndata: 2\n"
	for name, c := range map[string]struct {
		route   string
		resumed bool
	}{"resumed": {"resume", true}, "aborted": {"stream", false}} {
		h := newStallHarness(t, 2)
		h.send = func(n int, call Call, sink Sink) error {
			if n == 1 {
				return sendAnswer(sink, 200, eventText(1), partial)
			}
			return sendStream(call, sink, 0, 0)
		}
		got := h.serve(c.route)
		if c.resumed {
			checkComplete(t, got)
		} else if !got.aborted || got.body.String() != eventText(1) {
			t.Errorf("%s: aborted %v, %q; want an aborted answer with the first event", name, got.aborted, got.body.String())
		}
	}
	h := newStallHarness(t, 1)
	h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, partial) }
	if got := h.serve("stream"); fault.From(got.err).Ran != fault.MayHaveRun || got.status != 0 {
		t.Errorf("stream of a partial event: %v, status %d; want an error after a possible run", got.err, got.status)
	}
}

// TestEndOfStreamNeedsNoBlankLine guards against whole streams being taken for broken: lines may
// end with CRLF, and comments and blank lines are no events.
func TestEndOfStreamNeedsNoBlankLine(t *testing.T) {
	for _, text := range []string{
		"id: 1\r\ndata: 1\r\n\r\nid: 2\r\ndata: 2\r\n\r\n", eventText(1) + "\n", eventText(1) + ": end\n", eventText(1) + ":\r\n",
	} {
		h := newStallHarness(t, 1)
		h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, text) }
		if got := h.serve("stream"); got.err != nil || got.aborted || got.body.String() != text {
			t.Errorf("%q: %v, aborted %v, %q", text, got.err, got.aborted, got.body.String())
		}
	}
}
