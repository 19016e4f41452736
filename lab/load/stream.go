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

// event is one event of a streamed answer, or a whole answer.
type event struct {
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

// errStreamEnded says that a stream ended before its end was marked.
var errStreamEnded = errors.New("the stream ended without [DONE]")

// answer collects a streamed answer.
type answer struct {
	text     strings.Builder
	last     time.Time
	finished bool // A finish reason came.
	done     bool // [DONE] came.
	onText   func(text string)
}

// readStream reads a streamed answer and compares it token by token.
func (s *Sender) readStream(body io.Reader, r workload.Request, a *Attempt, start time.Time) {
	got := answer{onText: s.OnText}
	err := readEvents(body, func(data string) error { return got.take(data, a, start) })
	want := expectedText(r)
	text := got.text.String()
	switch {
	case !strings.HasPrefix(want, text):
		a.judge(false, text)
	case got.done || got.finished:
		a.judge(text == want && got.done && got.finished && err == nil, "the end came early: "+text)
	default:
		a.Outcome = Broken
		if err == nil {
			err = errStreamEnded
		}
		a.Detail = err.Error()
	}
}

// readEvents calls take with the data of each event until [DONE] or the end.
func readEvents(body io.Reader, take func(data string) error) error {
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
		if err := take(strings.TrimSpace(data)); err != nil {
			return err
		}
	}
}

// take adds one event to the answer.
func (g *answer) take(data string, a *Attempt, start time.Time) error {
	if data == "[DONE]" {
		g.done = true
		return nil
	}
	var e event
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
		g.finished = g.finished || choice.FinishReason != nil
		if choice.Text != "" {
			g.note(a, start)
		}
	}
	return nil
}

// note notes the time of a token.
func (g *answer) note(a *Attempt, start time.Time) {
	now := time.Now()
	if a.Tokens == 0 {
		a.FirstToken = now.Sub(start)
	} else {
		a.Gaps = append(a.Gaps, now.Sub(g.last))
	}
	g.last = now
	a.Tokens++
}

// readWhole reads an answer that does not stream.
func (s *Sender) readWhole(body io.Reader, r workload.Request, a *Attempt) {
	data, err := io.ReadAll(body)
	if err != nil {
		a.Outcome = Broken
		a.Detail = err.Error()
		return
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil || len(e.Choices) != 1 {
		a.judge(false, string(data))
		return
	}
	a.Tokens = r.MaxTokens
	if s.OnText != nil {
		s.OnText(e.Choices[0].Text)
	}
	a.judge(e.Choices[0].Text == expectedText(r) && e.Choices[0].FinishReason != nil, string(data))
}
