package engineapi

import (
	"encoding/json"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// PrefillCall describes the prefill phase of one attempt.
type PrefillCall struct {
	Attempt      string // Unique for each attempt.
	Model        ident.ModelID
	Prompt       Prompt
	ContinueFrom []int // Tokens that earlier attempts have already delivered.
	Priority     text.Priority
	Limits       endpoint.Limits
}

// PrefillResult is the result of a prefill. The engine keeps the KV cache of the prompt
// only for a short time.
type PrefillResult struct {
	PromptTokens ident.Tokens
	Transfer     json.RawMessage // kv_transfer_params, passed unchanged to the decode engine.
}

// DecodeCall describes the decode phase of one attempt.
type DecodeCall struct {
	Attempt      string
	Model        ident.ModelID
	Prompt       Prompt
	MaxTokens    ident.Tokens // Bounds the new tokens, without those in ContinueFrom.
	ContinueFrom []int        // Tokens that earlier attempts have already delivered.
	Priority     text.Priority
	Transfer     json.RawMessage // Transfer parameters returned by the prefill.
	Limits       endpoint.Limits
}

// Delta is one increment of a streamed response: tokens and their text.
type Delta struct {
	IDs  []int
	Text string
}

// Finish describes the end of a complete response.
type Finish struct {
	Reason       string // "stop" or "length".
	Tokens       ident.Tokens
	PromptTokens ident.Tokens // 0 if the engine did not report it.
}
