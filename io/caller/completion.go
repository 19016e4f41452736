package caller

import (
	"encoding/json"
	"strings"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/request"
)

// defaultMaxTokens applies to a request without max_tokens.
const defaultMaxTokens ident.Tokens = 256

// Path suffixes of the completion APIs.
const (
	chatPath       = "/chat/completions"
	completionPath = "/completions"
)

// completionRequest is the body of POST /v1/completions. Other fields are ignored.
type completionRequest struct {
	Model     ident.ModelID     `json:"model"`
	Prompt    *engineapi.Prompt `json:"prompt"`
	MaxTokens *ident.Tokens     `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	N         *int              `json:"n"`
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

// chatMessage is a message of a chat request.
type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the text of a message: a string, or a list of text parts.
type chatContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = chatContent(text)
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

// completionCall is a decoded completion request from either API.
type completionCall struct {
	request.CompletionRequest
	chat   bool
	stream bool
}

// decodeRequest decodes a completion request; the path selects the API.
func decodeRequest(path string, body []byte) (completionCall, error) {
	switch {
	case strings.HasSuffix(path, chatPath):
		return decodeChatRequest(body)
	case strings.HasSuffix(path, completionPath):
		return decodeCompletionRequest(body)
	}
	return completionCall{}, fault.New(fault.UnknownRoute, "a model service serves paths that end in %s or %s", completionPath, chatPath)
}

// decodeCompletionRequest decodes the body of POST /v1/completions.
func decodeCompletionRequest(body []byte) (completionCall, error) {
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return completionCall{}, decodeError(err)
	}
	if c.Prompt == nil {
		return completionCall{}, fault.New(fault.BadRequest, "prompt is missing")
	}
	return newCompletionCall(c.Model, *c.Prompt, c.MaxTokens, c.N, c.Stream)
}

// decodeChatRequest decodes the body of POST /v1/chat/completions.
func decodeChatRequest(body []byte) (completionCall, error) {
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return completionCall{}, decodeError(err)
	}
	if len(c.Messages) == 0 {
		return completionCall{}, fault.New(fault.BadRequest, "messages is empty")
	}
	limit := c.MaxCompletionTokens
	if limit == nil {
		limit = c.MaxTokens
	}
	call, err := newCompletionCall(c.Model, engineapi.TextPrompt(chatPrompt(c.Messages)), limit, c.N, c.Stream)
	call.chat = true
	return call, err
}

// chatPrompt joins messages into one prompt: a line with role and content for each,
// and the assistant role at the end.
func chatPrompt(messages []chatMessage) string {
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

// newCompletionCall validates the fields that both APIs have in common.
func newCompletionCall(model ident.ModelID, prompt engineapi.Prompt, limit *ident.Tokens, n *int, stream bool) (completionCall, error) {
	if model == "" {
		return completionCall{}, fault.New(fault.BadRequest, "model is missing")
	}
	if n != nil && *n != 1 {
		return completionCall{}, fault.New(fault.BadRequest, "n must be 1")
	}
	maxTokens := defaultMaxTokens
	if limit != nil {
		maxTokens = *limit
	}
	if maxTokens < 1 {
		return completionCall{}, fault.New(fault.BadRequest, "max_tokens must be 1 or more")
	}
	return completionCall{CompletionRequest: request.CompletionRequest{Model: model, Prompt: prompt, MaxTokens: maxTokens}, stream: stream}, nil
}

// decodeError returns the BadRequest error for a body that could not be decoded.
func decodeError(err error) error {
	if f := fault.From(err); f.Kind == fault.BadRequest {
		return f
	}
	return fault.Wrap(err, fault.BadRequest, "malformed JSON: %v", err)
}

// handleCompletion serves a request to a model service.
func (x *exchange) handleCompletion(c credential, body []byte) error {
	call, err := decodeRequest(x.req.URL.Path, body)
	if err != nil {
		return err
	}
	// checkBody has searched the raw body, where JSON escapes may hide the API key.
	if c.token != "" && call.Prompt.Contains(c.token) {
		return fault.New(fault.BadRequest, "the API key is allowed in the Authorization header only")
	}
	res := newModelResponse(x, call)
	if call.stream {
		return res.writeStream()
	}
	return res.writeComplete()
}
