package caller

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/request"
	"monsoonfork/io/httpcall"
)

// modelResponse writes the response to a completion request.
type modelResponse struct {
	*exchange
	call    completionCall
	created int64 // Unix seconds.
}

// newModelResponse returns a response of which nothing has been sent.
func newModelResponse(x *exchange, call completionCall) *modelResponse {
	return &modelResponse{exchange: x, call: call, created: time.Now().Unix()}
}

// completionResponse is the JSON body of a complete response, or of one event of a
// stream.
type completionResponse struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   ident.ModelID    `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   *usage           `json:"usage,omitempty"`
}

// responseChoice holds generated text: in Text for the completion API, in Message for
// the chat API, and in Delta for a streamed chat.
type responseChoice struct {
	Index        int              `json:"index"`
	Text         *string          `json:"text,omitempty"`
	Message      *responseMessage `json:"message,omitempty"`
	Delta        *responseMessage `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

// responseMessage is a chat message, or the part of one that an event carries.
type responseMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// usage holds the token counts of a request.
type usage struct {
	PromptTokens     ident.Tokens `json:"prompt_tokens"`
	CompletionTokens ident.Tokens `json:"completion_tokens"`
	TotalTokens      ident.Tokens `json:"total_tokens"`
}

// usageFor returns the token counts of a finished request.
func usageFor(result request.CompletionResult) *usage {
	return &usage{PromptTokens: result.PromptTokens, CompletionTokens: result.CompletionTokens, TotalTokens: result.PromptTokens + result.CompletionTokens}
}

// writeComplete collects the generated text and sends it as one JSON response.
func (a *modelResponse) writeComplete() error {
	var text strings.Builder
	result, err := a.session.Complete(a.call.CompletionRequest, func(d engineapi.Delta) error {
		text.WriteString(d.Text)
		return a.checkCaller()
	})
	if err != nil {
		return err
	}
	res := a.newResponse(a.newChoice(text.String(), &result.Reason, false))
	res.Usage = usageFor(result)
	body, err := json.Marshal(res)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot encode the response")
	}
	a.started = true
	h := a.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(httpcall.RequestIDHeader, a.responseID)
	a.setConnectionClose()
	return a.writeBody(body)
}

// writeStream sends an event for each token as it arrives. After an error, once the
// stream has begun, it sends an error event as the last one, without [DONE].
func (a *modelResponse) writeStream() error {
	first := true
	result, err := a.session.Complete(a.call.CompletionRequest, func(d engineapi.Delta) error {
		if err := a.checkCaller(); err != nil {
			return err
		}
		a.writeStreamHeaders()
		err := a.writeEvent(a.newResponse(a.newChoice(d.Text, nil, first)))
		first = false
		return err
	})
	if err != nil {
		if !a.started || a.checkCaller() != nil {
			return err
		}
		_ = a.writeEventData(encodeError(fault.From(err), a.responseID)) // The request fails with err in any case.
		a.errorSent = true
		return err
	}
	a.writeStreamHeaders()
	last := a.newResponse(a.newChoice("", &result.Reason, false))
	last.Usage = usageFor(result)
	if err := a.writeEvent(last); err != nil {
		return err
	}
	return a.writeEventData([]byte("[DONE]"))
}

// writeStreamHeaders sets the response headers of an event stream, once.
func (a *modelResponse) writeStreamHeaders() {
	if a.started {
		return
	}
	a.started = true
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(httpcall.RequestIDHeader, a.responseID)
	a.setConnectionClose()
}

// writeEvent encodes a response and sends it as one event.
func (a *modelResponse) writeEvent(res completionResponse) error {
	body, err := json.Marshal(res)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot encode an event")
	}
	return a.writeEventData(body)
}

// writeEventData sends one event with the given data and flushes it.
func (a *modelResponse) writeEventData(body []byte) error {
	message := make([]byte, 0, len(body)+8)
	message = append(message, "data: "...)
	message = append(message, body...)
	message = append(message, "\n\n"...)
	return a.writeBody(message)
}

// newResponse returns a response body with one choice.
func (a *modelResponse) newResponse(c responseChoice) completionResponse {
	object := "text_completion"
	prefix := "cmpl-"
	if a.call.chat {
		prefix, object = "chatcmpl-", "chat.completion"
		if a.call.stream {
			object = "chat.completion.chunk"
		}
	}
	return completionResponse{
		ID:      prefix + string(a.id),
		Object:  object,
		Created: a.created,
		Model:   a.call.Model,
		Choices: []responseChoice{c},
	}
}

// newChoice returns a choice with text and finish reason. first marks the first event
// of a stream, which carries the role in the chat API.
func (a *modelResponse) newChoice(text string, reason *string, first bool) responseChoice {
	c := responseChoice{FinishReason: reason}
	switch {
	case !a.call.chat:
		c.Text = &text
	case a.call.stream:
		c.Delta = &responseMessage{Content: text}
		if first {
			c.Delta.Role = "assistant"
		}
	default:
		c.Message = &responseMessage{Role: "assistant", Content: text}
	}
	return c
}
