package caller

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/request"
	"monsoonfork/io/engine"
	"monsoonfork/io/httpcall"
)

// modelAnswer writes the answer of a model.
type modelAnswer struct {
	*exchange
	ask     ask
	created int64 // Unix seconds.
}

// newModelAnswer returns an answer that has not begun.
func newModelAnswer(x *exchange, a ask) *modelAnswer {
	return &modelAnswer{exchange: x, ask: a, created: time.Now().Unix()}
}

// completionAnswer is a whole answer, or one event of a streamed one.
type completionAnswer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   ident.ModelID  `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   *usage         `json:"usage,omitempty"`
}

// answerChoice holds text. Which of its fields is set depends on the API.
type answerChoice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *answerMessage `json:"delta,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

// answerMessage is a message of a chat, or a part of one.
type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// usage counts tokens.
type usage struct {
	PromptTokens     ident.Tokens `json:"prompt_tokens"`
	CompletionTokens ident.Tokens `json:"completion_tokens"`
	TotalTokens      ident.Tokens `json:"total_tokens"`
}

// usageOf returns the usage of a finished request.
func usageOf(f request.CompletionResult) *usage {
	return &usage{PromptTokens: f.PromptTokens, CompletionTokens: f.CompletionTokens, TotalTokens: f.PromptTokens + f.CompletionTokens}
}

// whole answers when the answer is whole.
func (a *modelAnswer) whole() error {
	var text strings.Builder
	finished, err := a.session.Complete(a.ask.CompletionRequest, func(d engine.Delta) error {
		text.WriteString(d.Text)
		return a.gone()
	})
	if err != nil {
		return err
	}
	answer := a.envelope(a.choice(text.String(), &finished.Reason, false))
	answer.Usage = usageOf(finished)
	body, err := json.Marshal(answer)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot encode the answer")
	}
	a.begun = true
	h := a.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(httpcall.RequestIDHeader, a.shownID)
	_, _ = a.w.Write(body)
	return nil
}

// stream answers as the tokens come. An error after the first token is the
// last event, and no [DONE] follows it.
func (a *modelAnswer) stream() error {
	first := true
	finished, err := a.session.Complete(a.ask.CompletionRequest, func(d engine.Delta) error {
		if err := a.gone(); err != nil {
			return err
		}
		a.beginStream()
		err := a.event(a.envelope(a.choice(d.Text, nil, first)))
		first = false
		return err
	})
	if err != nil {
		if !a.begun || a.gone() != nil {
			return err
		}
		a.data(encodeError(fault.From(err), a.shownID))
		a.ended = true
		return err
	}
	a.beginStream()
	last := a.envelope(a.choice("", &finished.Reason, false))
	last.Usage = usageOf(finished)
	if err := a.event(last); err != nil {
		return err
	}
	a.data([]byte("[DONE]"))
	return nil
}

// beginStream gives the head of a stream to the library.
func (a *modelAnswer) beginStream() {
	if a.begun {
		return
	}
	a.begun = true
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(httpcall.RequestIDHeader, a.shownID)
}

// event sends one event.
func (a *modelAnswer) event(answer completionAnswer) error {
	body, err := json.Marshal(answer)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot encode an event")
	}
	a.data(body)
	return nil
}

// data sends the data of one event at once.
func (a *modelAnswer) data(body []byte) {
	message := make([]byte, 0, len(body)+8)
	message = append(message, "data: "...)
	message = append(message, body...)
	message = append(message, "\n\n"...)
	_, _ = a.w.Write(message)
	a.w.Flush()
}

// envelope returns an answer with one choice.
func (a *modelAnswer) envelope(c answerChoice) completionAnswer {
	object := "text_completion"
	prefix := "cmpl-"
	if a.ask.chat {
		prefix, object = "chatcmpl-", "chat.completion"
		if a.ask.stream {
			object = "chat.completion.chunk"
		}
	}
	return completionAnswer{
		ID:      prefix + string(a.id),
		Object:  object,
		Created: a.created,
		Model:   a.ask.Model,
		Choices: []answerChoice{c},
	}
}

// choice returns the choice for a part of the answer. first says that the role
// of a chat has not been sent.
func (a *modelAnswer) choice(text string, reason *string, first bool) answerChoice {
	c := answerChoice{FinishReason: reason}
	switch {
	case !a.ask.chat:
		c.Text = &text
	case a.ask.stream:
		c.Delta = &answerMessage{Content: text}
		if first {
			c.Delta.Role = "assistant"
		}
	default:
		c.Message = &answerMessage{Role: "assistant", Content: text}
	}
	return c
}
