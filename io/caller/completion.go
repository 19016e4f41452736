package caller

import (
	"encoding/json"
	"strings"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/request"
	"monsoonfork/io/engine"
)

// defaultMaxTokens is max_tokens of a request that names none.
const defaultMaxTokens ident.Tokens = 256

// Ends of the paths of the completion API.
const (
	chatPath       = "/chat/completions"
	completionPath = "/completions"
)

// completionRequest is the body of POST /v1/completions. Fields that are not
// listed have no effect.
type completionRequest struct {
	Model     ident.ModelID  `json:"model"`
	Prompt    *engine.Prompt `json:"prompt"`
	MaxTokens *ident.Tokens  `json:"max_tokens"`
	Stream    bool           `json:"stream"`
	N         *int           `json:"n"`
}

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model               ident.ModelID `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *ident.Tokens `json:"max_tokens"`
	MaxCompletionTokens *ident.Tokens `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	N                   *int          `json:"n"`
}

// chatMessage is one message of a chat.
type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the text of a message: a string, or a list of text parts.
type chatContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var whole string
	if json.Unmarshal(data, &whole) == nil {
		*c = chatContent(whole)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return fault.New(fault.BadRequest, "content must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return fault.New(fault.BadRequest, "content part of type %q: only text is served", p.Type)
		}
		b.WriteString(p.Text)
	}
	*c = chatContent(b.String())
	return nil
}

// ask is a completion request, from either API.
type ask struct {
	request.CompletionRequest
	chat   bool
	stream bool
}

// decodeAsk reads the body of a completion request.
func decodeAsk(path string, body []byte) (ask, error) {
	switch {
	case strings.HasSuffix(path, chatPath):
		return decodeChat(body)
	case strings.HasSuffix(path, completionPath):
		return decodeCompletion(body)
	}
	return ask{}, fault.New(fault.UnknownRoute, "a model service serves paths that end in %s or %s", completionPath, chatPath)
}

// decodeCompletion reads the body of POST /v1/completions.
func decodeCompletion(body []byte) (ask, error) {
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return ask{}, badBody(err)
	}
	if c.Prompt == nil {
		return ask{}, fault.New(fault.BadRequest, "prompt is missing")
	}
	return newAsk(c.Model, *c.Prompt, c.MaxTokens, c.N, c.Stream)
}

// decodeChat reads the body of POST /v1/chat/completions.
func decodeChat(body []byte) (ask, error) {
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return ask{}, badBody(err)
	}
	if len(c.Messages) == 0 {
		return ask{}, fault.New(fault.BadRequest, "messages is empty")
	}
	limit := c.MaxCompletionTokens
	if limit == nil {
		limit = c.MaxTokens
	}
	a, err := newAsk(c.Model, engine.TextPrompt(flatten(c.Messages)), limit, c.N, c.Stream)
	a.chat = true
	return a, err
}

// flatten returns messages as one prompt: each with its role, and the role of
// the answer at the end.
func flatten(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		role := m.Role
		if role == "" {
			role = "user"
		}
		b.WriteString(role + ": " + string(m.Content) + "\n")
	}
	b.WriteString("assistant:")
	return b.String()
}

// newAsk checks what both APIs have in common.
func newAsk(model ident.ModelID, prompt engine.Prompt, limit *ident.Tokens, n *int, stream bool) (ask, error) {
	if model == "" {
		return ask{}, fault.New(fault.BadRequest, "model is missing")
	}
	if n != nil && *n != 1 {
		return ask{}, fault.New(fault.BadRequest, "n must be 1")
	}
	maxTokens := defaultMaxTokens
	if limit != nil {
		maxTokens = *limit
	}
	if maxTokens < 1 {
		return ask{}, fault.New(fault.BadRequest, "max_tokens must be 1 or more")
	}
	return ask{CompletionRequest: request.CompletionRequest{Model: model, Prompt: prompt, MaxTokens: maxTokens}, stream: stream}, nil
}

// badBody returns the error for a body that is not the JSON that is wanted.
func badBody(err error) error {
	if f := fault.From(err); f.Kind == fault.BadRequest {
		return f
	}
	return fault.Wrap(err, fault.BadRequest, "malformed JSON: %v", err)
}

// completion handles a request to a model service.
func (x *exchange) completion(c credential, body []byte) error {
	a, err := decodeAsk(x.r.URL.Path, body)
	if err != nil {
		return err
	}
	// The body was searched as it came; escapes of JSON may have hidden a key.
	if c.token != "" && a.Prompt.Contains(c.token) {
		return fault.New(fault.BadRequest, "the key may stand in the Authorization header only")
	}
	answer := newModelAnswer(x, a)
	if a.stream {
		return answer.stream()
	}
	return answer.whole()
}
