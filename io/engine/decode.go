package engine

import (
	"context"
	"encoding/json"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
	"monsoonfork/io/httpcall"
)

// DecodeCall is the decode phase of one attempt.
type DecodeCall struct {
	Attempt      string
	Model        ident.ModelID
	Prompt       Prompt
	MaxTokens    ident.Tokens // Counts the tokens after ContinueFrom only.
	ContinueFrom []int        // Tokens already delivered by earlier attempts.
	Priority     text.Priority
	Transfer     json.RawMessage // From the prefill.
	Limits       httpcall.Limits
}

// Delta is a part of the answer: some tokens and their text.
type Delta struct {
	IDs  []int
	Text string
}

// Finish is the end of a whole answer.
type Finish struct {
	Reason       string // "stop" or "length".
	Tokens       ident.Tokens
	PromptTokens ident.Tokens // 0 if the engine did not say.
}

// decodeBody is the body of a decode.
type decodeBody struct {
	Model        ident.ModelID   `json:"model"`
	Prompt       Prompt          `json:"prompt"`
	MaxTokens    ident.Tokens    `json:"max_tokens"`
	Stream       bool            `json:"stream"`
	Priority     int             `json:"priority"`
	ContinueFrom []int           `json:"continue_from,omitempty"`
	Transfer     json.RawMessage `json:"kv_transfer_params"`
}

// decodeEvent is one event of a decode.
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

// Decode runs the decode phase and calls onDelta for each event. It returns
// without an error only if the engine marked the end of its answer and its
// count of tokens agrees with what came.
func (c *Client) Decode(ctx context.Context, to ident.Address, d DecodeCall, onDelta func(Delta) error) (Finish, error) {
	body := decodeBody{
		Model:        d.Model,
		Prompt:       d.Prompt,
		MaxTokens:    d.MaxTokens,
		Stream:       true,
		Priority:     int(d.Priority),
		ContinueFrom: d.ContinueFrom,
		Transfer:     d.Transfer,
	}
	call, err := c.completionCall(to, d.Attempt, d.Limits, body)
	if err != nil {
		return Finish{}, err
	}
	stream := &decoding{client: c, call: d, onDelta: onDelta}
	err = c.http.Do(ctx, call, httpcall.Sink{OnHead: stream.head, OnPiece: stream.piece})
	if stream.finished && stream.broken == nil {
		// The engine marked the end: what went wrong after it is not missed.
		return stream.finish, nil
	}
	if err != nil {
		return Finish{}, err
	}
	return stream.end()
}

// decoding is the state of one streamed answer.
type decoding struct {
	client  *Client
	call    DecodeCall
	onDelta func(Delta) error

	status   int
	errBody  []byte
	events   eventReader
	finish   Finish
	finished bool  // A finish reason came.
	broken   error // The event with the finish reason was wrong.
}

// head takes the status.
func (s *decoding) head(h httpcall.Head) error {
	s.status = h.Status
	return nil
}

// piece takes a piece of the body.
func (s *decoding) piece(piece []byte) error {
	if !statusOK(s.status) {
		s.errBody = append(s.errBody, piece...)
		return nil
	}
	return s.events.feed(piece, s.event)
}

// event takes the data of one event.
func (s *decoding) event(data []byte) error {
	if string(data) == "[DONE]" {
		return nil
	}
	if s.finished {
		return fault.New(fault.AnswerBroken, "the engine sent more after the end of its answer")
	}
	var e decodeEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return fault.Wrap(err, fault.AnswerBroken, "the engine sent a malformed event")
	}
	if e.ID != s.call.Attempt {
		s.client.http.CountCrossed()
		return fault.New(fault.AnswerBroken, "the engine sent tokens of another request")
	}
	if len(e.Choices) != 1 {
		return fault.New(fault.AnswerBroken, "the engine sent an event with %d choices", len(e.Choices))
	}
	return s.choice(e)
}

// choice takes the tokens of an event and, if it is the last, the end.
func (s *decoding) choice(e decodeEvent) error {
	choice := e.Choices[0]
	s.finish.Tokens += ident.Tokens(len(choice.TokenIDs))
	if s.finish.Tokens > s.call.MaxTokens {
		return fault.New(fault.AnswerBroken, "the engine sent more than %d tokens", s.call.MaxTokens)
	}
	if len(choice.TokenIDs) > 0 || choice.Text != "" {
		if err := s.onDelta(Delta{IDs: choice.TokenIDs, Text: choice.Text}); err != nil {
			return err
		}
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
	if e.Usage.CompletionTokens != s.finish.Tokens {
		s.broken = fault.New(fault.AnswerBroken, "%d tokens came, the engine counted %d", s.finish.Tokens, e.Usage.CompletionTokens)
	}
	return s.broken
}

// end returns the error of an answer without an end.
func (s *decoding) end() (Finish, error) {
	if !statusOK(s.status) {
		return Finish{}, refused(s.status, s.errBody)
	}
	return Finish{}, fault.New(fault.AnswerBroken, "the engine ended its stream without marking the end")
}
