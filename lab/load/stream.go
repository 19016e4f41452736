package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"monsoonfork/lab/workload"
)

// completionEvent is one event of a streamed answer, or the body of an answer
// that is not streamed.
type completionEvent struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Type    string `json:"type"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

// errMissingDone is the error of a stream that ended without the [DONE] event.
var errMissingDone = errors.New("the stream ended without [DONE]")

// streamedAnswer collects the events of a streamed answer.
type streamedAnswer struct {
	text            strings.Builder
	lastToken       time.Time
	hasFinishReason bool // An event with a finish reason was received.
	hasDoneMarker   bool // The [DONE] event was received.
	onText          func(text string)
}

// readStream reads a streamed answer and compares it with the expected text. An
// answer that is a prefix of that text and has no end marker is Truncated.
func (s *Sender) readStream(body io.Reader, r workload.Request, a *Attempt, start time.Time) {
	got := streamedAnswer{onText: s.OnText}
	err := readEvents(body, func(data string) error { return got.addEvent(data, a, start) })
	want := expectedText(r)
	text := got.text.String()
	switch {
	case !strings.HasPrefix(want, text):
		a.setCompleteOutcome(false, text)
	case got.hasDoneMarker || got.hasFinishReason:
		a.setCompleteOutcome(text == want && got.hasDoneMarker && got.hasFinishReason && err == nil, "ended early: "+text)
	default:
		a.Outcome = Truncated
		if err == nil {
			err = errMissingDone
		}
		a.Detail = err.Error()
	}
}

// readEvents calls handle with the data of each event up to the end of the
// body. It stops at the first error.
func readEvents(body io.Reader, handle func(data string) error) error {
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data:")
		if !ok {
			continue
		}
		if err := handle(strings.TrimSpace(data)); err != nil {
			return err
		}
	}
}

// addEvent adds the data of one event to the answer. An error event is returned
// as an error.
func (g *streamedAnswer) addEvent(data string, a *Attempt, start time.Time) error {
	if data == "[DONE]" {
		g.hasDoneMarker = true
		return nil
	}
	var e completionEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return err
	}
	if e.Error != nil {
		a.ErrorType = e.Error.Type
		return errors.New(e.Error.Message)
	}
	for _, choice := range e.Choices {
		g.text.WriteString(choice.Text)
		if g.onText != nil {
			g.onText(choice.Text)
		}
		g.hasFinishReason = g.hasFinishReason || choice.FinishReason != nil
		if choice.Text != "" {
			g.recordToken(a, start)
		}
	}
	return nil
}

// recordToken counts a token and records the time of its arrival.
func (g *streamedAnswer) recordToken(a *Attempt, start time.Time) {
	now := time.Now()
	if a.Tokens == 0 {
		a.FirstToken = now.Sub(start)
	} else {
		a.InterTokenTimes = append(a.InterTokenTimes, now.Sub(g.lastToken))
	}
	g.lastToken = now
	a.Tokens++
}

// readUnstreamed reads and checks an answer that is not streamed.
func (s *Sender) readUnstreamed(body io.Reader, r workload.Request, a *Attempt) {
	data, err := io.ReadAll(body)
	if err != nil {
		a.Outcome = Truncated
		a.Detail = err.Error()
		return
	}
	var e completionEvent
	if err := json.Unmarshal(data, &e); err != nil || len(e.Choices) != 1 {
		a.setCompleteOutcome(false, string(data))
		return
	}
	a.Tokens = r.MaxTokens
	if s.OnText != nil {
		s.OnText(e.Choices[0].Text)
	}
	a.setCompleteOutcome(e.Choices[0].Text == expectedText(r) && e.Choices[0].FinishReason != nil, string(data))
}
