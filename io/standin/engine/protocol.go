package engine

import (
	"encoding/json"
	"errors"
)

// maxCompletionTokens is the upper bound of max_tokens.
const maxCompletionTokens = 1 << 17

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model            string         `json:"model"`
	Prompt           Prompt         `json:"prompt"`
	MaxTokens        int            `json:"max_tokens"`
	Stream           bool           `json:"stream"`
	Priority         int            `json:"priority"`      // 0 is normal, 1 is high.
	ContinueFrom     []int          `json:"continue_from"` // Completion tokens that the client already has.
	KVTransferParams TransferParams `json:"kv_transfer_params"`
}

// UnmarshalJSON implements json.Unmarshaler. It rejects values out of range.
func (c *CompletionRequest) UnmarshalJSON(data []byte) error {
	type plain CompletionRequest
	if err := json.Unmarshal(data, (*plain)(c)); err != nil {
		return err
	}
	if c.Prompt.Len() == 0 {
		return errors.New("prompt is missing")
	}
	if c.MaxTokens < 1 || c.MaxTokens > maxCompletionTokens {
		return errors.New("max_tokens is out of range")
	}
	if c.Priority < 0 || c.Priority > 1 {
		return errors.New("priority is 0 or 1")
	}
	return nil
}

// isPrefill reports whether the request is for the prefill only.
func (c *CompletionRequest) isPrefill() bool { return c.KVTransferParams.DoRemoteDecode }

// TransferParams are the parameters of a KV cache transfer between engines.
// DoRemoteDecode requests a prefill whose result another engine pulls;
// DoRemotePrefill requests a decode that pulls the result from the remote engine.
type TransferParams struct {
	DoRemoteDecode  bool   `json:"do_remote_decode,omitempty"`
	DoRemotePrefill bool   `json:"do_remote_prefill,omitempty"`
	RemoteRequestID string `json:"remote_request_id,omitempty"`
	RemoteEngineID  string `json:"remote_engine_id,omitempty"`
	RemoteHost      string `json:"remote_host,omitempty"`
	RemotePort      int    `json:"remote_port,omitempty"`
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens       int `json:"prompt_tokens"`
	CachedPromptTokens int `json:"cached_prompt_tokens"`
	CompletionTokens   int `json:"completion_tokens"`
}

// PrefillResponse is the response to a prefill request. KVTransferParams are to be sent
// with the decode request.
type PrefillResponse struct {
	ID               string         `json:"id"`
	Usage            Usage          `json:"usage"`
	KVTransferParams TransferParams `json:"kv_transfer_params"`
}

// Choice is the element of a Completion that holds tokens.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	TokenIDs     []int   `json:"token_ids"`
	FinishReason *string `json:"finish_reason"`
}

// Completion is one event of a streamed response, or a whole response.
type Completion struct {
	ID      string   `json:"id"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// AbortRequest is the body of POST /abort_request.
type AbortRequest struct {
	RID string `json:"rid"`
}

// AbortResponse is the response to POST /abort_request.
type AbortResponse struct {
	RID     string `json:"rid"`
	Aborted bool   `json:"aborted"`
}

// RequestsResponse is the response to GET /requests.
type RequestsResponse struct {
	Requests []HeldRequest `json:"requests"`
}

// HeldRequest is a request that has not ended: it waits, is processed, or holds
// memory. Holder is the X-Holder header of the request.
type HeldRequest struct {
	RequestID     string `json:"rid"`
	Holder        string `json:"holder"`
	Phase         Phase  `json:"phase"`
	Pieces        int    `json:"pieces"`
	StartedUnixMS int64  `json:"started_unix_ms"`
}

// LoadResponse is the response to GET /load.
type LoadResponse struct {
	Running        int   `json:"running"`
	Waiting        int   `json:"waiting"`
	Slots          int   `json:"slots"`
	PiecesUsed     int   `json:"pieces_used"`
	Pieces         int   `json:"pieces"`
	ReportedUnixMS int64 `json:"reported_unix_ms"`
}

// KVResponse is the response to GET /v1/kv/{id}. It is sent instead of the KV cache,
// after the time that the transfer of Bytes bytes takes.
type KVResponse struct {
	RemoteRequestID string `json:"remote_request_id"`
	PromptHash      string `json:"prompt_hash"`
	Bytes           int64  `json:"bytes"`
}
