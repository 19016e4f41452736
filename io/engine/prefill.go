package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// prefillBody is the request body of a prefill call.
type prefillBody struct {
	Model        ident.ModelID    `json:"model"`
	Prompt       engineapi.Prompt `json:"prompt"`
	MaxTokens    int              `json:"max_tokens"`
	Priority     int              `json:"priority"`
	ContinueFrom []int            `json:"continue_from,omitempty"`
	Transfer     struct {
		RemoteDecode bool `json:"do_remote_decode"`
	} `json:"kv_transfer_params"`
}

// prefillResponse is the response to a prefill call.
type prefillResponse struct {
	ID    string `json:"id"`
	Usage struct {
		PromptTokens ident.Tokens `json:"prompt_tokens"`
	} `json:"usage"`
	Transfer json.RawMessage `json:"kv_transfer_params"`
}

// Prefill runs the prefill phase and returns the parameters for the transfer of the
// KV cache to a decode engine.
func (c *Client) Prefill(ctx context.Context, to ident.Address, p engineapi.PrefillCall) (engineapi.PrefillResult, error) {
	body := prefillBody{Model: p.Model, Prompt: p.Prompt, MaxTokens: 1, Priority: int(p.Priority), ContinueFrom: p.ContinueFrom}
	body.Transfer.RemoteDecode = true
	call, err := c.newCompletionCall(to, p.Attempt, p.Limits, body)
	if err != nil {
		return engineapi.PrefillResult{}, err
	}
	responseBody, err := c.doBuffered(ctx, call)
	if err != nil {
		return engineapi.PrefillResult{}, err
	}
	var response prefillResponse
	if err := json.Unmarshal(responseBody, &response); err != nil {
		return engineapi.PrefillResult{}, fault.Wrap(err, fault.AnswerBroken, "the prefill engine's response is malformed")
	}
	if response.ID != p.Attempt {
		c.http.CountMismatchedID()
		return engineapi.PrefillResult{}, fault.New(fault.AnswerBroken, "the prefill engine's response belongs to another request")
	}
	if response.Usage.PromptTokens < 0 {
		return engineapi.PrefillResult{}, fault.New(fault.AnswerBroken, "the prefill engine reported %d tokens", response.Usage.PromptTokens)
	}
	if len(response.Transfer) == 0 {
		return engineapi.PrefillResult{}, fault.New(fault.AnswerBroken, "the prefill engine's response has no transfer parameters")
	}
	return engineapi.PrefillResult{PromptTokens: response.Usage.PromptTokens, Transfer: response.Transfer}, nil
}

// statusOK reports whether a response with this status carries a result.
func statusOK(status int) bool { return status == http.StatusOK }
