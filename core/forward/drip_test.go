package forward

import (
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	// dripInterval is the time between two pieces of data of an engine that sends no events. It is
	// far below minStallTimeout.
	dripInterval = 100 * time.Millisecond
	// maxDripTime is how long such an engine sends data if its call is not cancelled.
	maxDripTime = 4 * time.Second
)

// drip sends the first events of a stream, and then the piece again and again.
func drip(sink Sink, piece string) error {
	if err := sendAnswer(sink, http.StatusOK, eventText(1), eventText(silentAfter)); err != nil {
		return err
	}
	for end := time.Now().Add(maxDripTime); time.Now().Before(end); time.Sleep(dripInterval) {
		if err := sink.OnData([]byte(piece)); err != nil {
			return err
		}
	}
	return errBroken
}

// eventLines matches the lines of events.
var eventLines = regexp.MustCompile(`(?m)^[a-z]+:.*$`)

// TestStreamOfBytesWithoutEventsIsResumed guards against a stalled stream that lasts until its
// deadline, since its engine sends a byte or a comment now and then.
func TestStreamOfBytesWithoutEventsIsResumed(t *testing.T) {
	t.Parallel()
	for _, piece := range []string{"d", ": alive\n\n", ":", "\n", "\r\n"} {
		t.Run(piece, func(t *testing.T) {
			t.Parallel()
			h := newStallHarness(t, 2)
			h.send = func(n int, c Call, sink Sink) error {
				if n == 1 {
					return drip(sink, piece)
				}
				return sendStream(c, sink, -1, 0)
			}
			started := time.Now()
			got := h.serve("resume")
			lines, want := eventLines.FindAllString(got.body.String(), -1), eventLines.FindAllString(wholeStream(), -1)
			if got.err != nil || got.aborted || !slices.Equal(lines, want) {
				t.Errorf("error %v, aborted %v, %q; want the whole stream", got.err, got.aborted, got.body.String())
			}
			if took, most := time.Since(started), minStallTimeout+time.Second; took > most {
				t.Errorf("the stream took %v, want at most %v", took, most)
			}
		})
	}
}

// TestSlowEventsAreNoStall guards against a sound stream being cut whose events arrive in
// small parts, each event within the stall timeout.
func TestSlowEventsAreNoStall(t *testing.T) {
	t.Parallel()
	h := newStallHarness(t, 2)
	h.send = func(_ int, _ Call, sink Sink) error {
		if err := sendAnswer(sink, http.StatusOK); err != nil {
			return err
		}
		for n := 1; n <= streamEvents; n++ {
			parts := strings.SplitAfter(eventText(n), ":")
			for _, part := range parts {
				time.Sleep(minStallTimeout / 2 / time.Duration(len(parts)))
				if err := sink.OnData([]byte(part)); err != nil {
					return err
				}
			}
		}
		return nil
	}
	checkComplete(t, h.serve("resume"))
	if len(h.sent) != 1 {
		t.Errorf("%d calls, want 1", len(h.sent))
	}
}
