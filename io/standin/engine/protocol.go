package engine

import (
	"encoding/json"
	"errors"
)

// maxAnswerTokens bounds max_tokens of one request.
const maxAnswerTokens = 1 << 17

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model            string         `json:"model"`
	Prompt           Prompt         `json:"prompt"`
	MaxTokens        int            `json:"max_tokens"`
	Stream           bool           `json:"stream"`
	Priority         int            `json:"priority"` // 0 normal, 1 high.
	ContinueFrom     []int          `json:"continue_from"`
	KVTransferParams TransferParams `json:"kv_transfer_params"`
}

// UnmarshalJSON implements json.Unmarshaler and checks the request.
func (c *CompletionRequest) UnmarshalJSON(data []byte) error {
	type plain CompletionRequest
	if err := json.Unmarshal(data, (*plain)(c)); err != nil {
		return err
	}
	if c.Prompt.Len() == 0 {
		return errors.New("prompt is missing")
	}
	if c.MaxTokens < 1 || c.MaxTokens > maxAnswerTokens {
		return errors.New("max_tokens is out of range")
	}
	if c.Priority < 0 || c.Priority > 1 {
		return errors.New("priority is 0 or 1")
	}
	return nil
}

// isPrefill reports whether only the prefill is asked for.
func (c *CompletionRequest) isPrefill() bool { return c.KVTransferParams.DoRemoteDecode }

// TransferParams say how KV cache moves between engines.
type TransferParams struct {
	DoRemoteDecode  bool   `json:"do_remote_decode,omitempty"`
	DoRemotePrefill bool   `json:"do_remote_prefill,omitempty"`
	RemoteRequestID string `json:"remote_request_id,omitempty"`
	RemoteEngineID  string `json:"remote_engine_id,omitempty"`
	RemoteHost      string `json:"remote_host,omitempty"`
	RemotePort      int    `json:"remote_port,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens       int `json:"prompt_tokens"`
	CachedPromptTokens int `json:"cached_prompt_tokens"`
	CompletionTokens   int `json:"completion_tokens"`
}

// PrefillAnswer is the answer of a prefill engine.
type PrefillAnswer struct {
	ID               string         `json:"id"`
	Usage            Usage          `json:"usage"`
	KVTransferParams TransferParams `json:"kv_transfer_params"`
}

// Choice is the part of an answer that holds tokens.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	TokenIDs     []int   `json:"token_ids"`
	FinishReason *string `json:"finish_reason"`
}

// Completion is one event of a streamed answer, or a whole answer.
type Completion struct {
	ID      string   `json:"id"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// ErrorAnswer is the body of an error.
type ErrorAnswer struct {
	Error string `json:"error"`
}

// AbortRequest is the body of POST /abort_request.
type AbortRequest struct {
	RID string `json:"rid"`
}

// AbortAnswer is the answer to POST /abort_request.
type AbortAnswer struct {
	RID     string `json:"rid"`
	Aborted bool   `json:"aborted"`
}

// RequestsAnswer is the answer to GET /requests.
type RequestsAnswer struct {
	Requests []HeldRequest `json:"requests"`
}

// HeldRequest is one request that the engine holds.
type HeldRequest struct {
	RID           string `json:"rid"`
	Holder        string `json:"holder"`
	Phase         Phase  `json:"phase"`
	Pieces        int    `json:"pieces"`
	StartedUnixMS int64  `json:"started_unix_ms"`
}

// LoadAnswer is the answer to GET /load.
type LoadAnswer struct {
	Running        int   `json:"running"`
	Waiting        int   `json:"waiting"`
	Slots          int   `json:"slots"`
	PiecesUsed     int   `json:"pieces_used"`
	Pieces         int   `json:"pieces"`
	ReportedUnixMS int64 `json:"reported_unix_ms"`
}

// KVAnswer is the answer to GET /v1/kv/{id}; it stands for the KV cache.
type KVAnswer struct {
	RemoteRequestID string `json:"remote_request_id"`
	PromptHash      string `json:"prompt_hash"`
	Bytes           int64  `json:"bytes"`
}
