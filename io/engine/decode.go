package engine

import (
	"context"
	"encoding/json"
	"time"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// decodeBody is the request body of a decode call.
type decodeBody struct {
	Model        ident.ModelID    `json:"model"`
	Prompt       engineapi.Prompt `json:"prompt"`
	MaxTokens    ident.Tokens     `json:"max_tokens"`
	Stream       bool             `json:"stream"`
	Priority     int              `json:"priority"`
	ContinueFrom []int            `json:"continue_from,omitempty"`
	Transfer     json.RawMessage  `json:"kv_transfer_params"`
}

// decodeEvent is one server-sent event of a decode stream.
type decodeEvent struct {
	ID      string `json:"id"`
	Choices []struct {
		Text         string  `json:"text"`
		TokenIDs     []int   `json:"token_ids"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     ident.Tokens `json:"prompt_tokens"`
		CompletionTokens ident.Tokens `json:"completion_tokens"`
	} `json:"usage"`
}

// Decode runs the decode phase and calls onDelta for each event that has tokens
// or text. It returns without an error only if the engine sent a finish reason
// and its token count, if sent, equals the number of tokens received.
func (c *Client) Decode(ctx context.Context, to ident.Address, d engineapi.DecodeCall, onDelta func(engineapi.Delta) error) (engineapi.Finish, error) {
	body := decodeBody{
		Model:        d.Model,
		Prompt:       d.Prompt,
		MaxTokens:    d.MaxTokens,
		Stream:       true,
		Priority:     int(d.Priority),
		ContinueFrom: d.ContinueFrom,
		Transfer:     d.Transfer,
	}
	call, err := c.newCompletionCall(to, d.Attempt, d.Limits, body)
	if err != nil {
		return engineapi.Finish{}, err
	}
	stream := &decodeStream{client: c, call: d, onDelta: onDelta}
	err = c.http.Do(ctx, call, endpoint.Sink{OnHead: stream.onHead, OnBody: stream.onChunk})
	if stream.finished && stream.finishErr == nil {
		// The response is complete, so later errors on the connection are ignored.
		return stream.finish, nil
	}
	if err != nil {
		return engineapi.Finish{}, err
	}
	return stream.missingFinishError()
}

// decodeStream is the state of one streamed response.
type decodeStream struct {
	client  *Client
	call    engineapi.DecodeCall
	onDelta func(engineapi.Delta) error

	status    int
	heardAt   time.Time // When the head or the last event with a token, text or a finish reason arrived.
	errorBody bodyBuffer
	events    eventReader
	finish    engineapi.Finish
	finished  bool  // A finish reason was received.
	finishErr error // The event with the finish reason had a wrong token count.
}

// onHead stores the response status.
func (s *decodeStream) onHead(h endpoint.Head) error {
	s.status, s.heardAt = h.Status, time.Now()
	return nil
}

// onChunk processes a chunk of the response body.
func (s *decodeStream) onChunk(chunk []byte) error {
	if !statusOK(s.status) {
		return s.errorBody.add(chunk)
	}
	if err := s.events.feed(chunk, s.onEvent); err != nil {
		return err
	}
	// A read timeout alone does not end a stream that gets bytes without tokens.
	if limit := s.call.Limits.ReadTimeout; limit > 0 && !s.finished && time.Since(s.heardAt) > limit {
		return fault.New(fault.EndpointTimeout, "the engine sent no token in time")
	}
	return nil
}

// onEvent decodes and checks the data of one event.
func (s *decodeStream) onEvent(data []byte) error {
	if string(data) == "[DONE]" {
		return nil
	}
	if s.finished {
		return fault.New(fault.AnswerBroken, "the engine sent an event after the finish reason")
	}
	var e decodeEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return fault.Wrap(err, fault.AnswerBroken, "the engine sent a malformed event")
	}
	if e.ID != s.call.Attempt {
		s.client.http.CountMismatchedID()
		return fault.New(fault.AnswerBroken, "the engine sent an event of another request")
	}
	if len(e.Choices) != 1 {
		return fault.New(fault.AnswerBroken, "the engine sent an event with %d choices", len(e.Choices))
	}
	return s.onChoice(e)
}

// onChoice delivers the tokens of an event and, if the event has a finish reason,
// stores the reason and checks the token count.
func (s *decodeStream) onChoice(e decodeEvent) error {
	choice := e.Choices[0]
	if len(choice.TokenIDs) > 0 || choice.Text != "" || choice.FinishReason != nil {
		s.heardAt = time.Now()
	}
	s.finish.Tokens += ident.Tokens(len(choice.TokenIDs))
	if s.finish.Tokens > s.call.MaxTokens {
		return fault.New(fault.AnswerBroken, "the engine sent more than %d tokens", s.call.MaxTokens)
	}
	if len(choice.TokenIDs) > 0 || choice.Text != "" {
		if err := s.onDelta(engineapi.Delta{IDs: choice.TokenIDs, Text: choice.Text}); err != nil {
			return err
		}
		s.heardAt = time.Now() // The engine is not silent while its caller does not read.
	}
	if choice.FinishReason == nil {
		return nil
	}
	s.finished = true
	s.finish.Reason = *choice.FinishReason
	if e.Usage == nil {
		return nil
	}
	s.finish.PromptTokens = e.Usage.PromptTokens
	if e.Usage.PromptTokens < 0 {
		s.finishErr = fault.New(fault.AnswerBroken, "the engine reported %d tokens of the prompt", e.Usage.PromptTokens)
	}
	if e.Usage.CompletionTokens != s.finish.Tokens {
		s.finishErr = fault.New(fault.AnswerBroken, "received %d tokens, but the engine reported %d", s.finish.Tokens, e.Usage.CompletionTokens)
	}
	return s.finishErr
}

// missingFinishError returns the error for a response that ended without a finish
// reason.
func (s *decodeStream) missingFinishError() (engineapi.Finish, error) {
	if !statusOK(s.status) {
		return engineapi.Finish{}, statusError(s.status, s.errorBody.data)
	}
	return engineapi.Finish{}, fault.New(fault.AnswerBroken, "the engine ended its stream without a finish reason")
}
