package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
	"monsoonfork/io/httpcall"
)

// PrefillCall is the prefill phase of one attempt.
type PrefillCall struct {
	Attempt      string // Unique for each attempt.
	Model        ident.ModelID
	Prompt       Prompt
	ContinueFrom []int // Tokens already delivered by earlier attempts.
	Priority     text.Priority
	Limits       httpcall.Limits
}

// Prefilled is the result of a prefill. The engine keeps it for a short time.
type Prefilled struct {
	PromptTokens ident.Tokens
	Transfer     json.RawMessage // kv_transfer_params, for the decode engine as they are.
}

// prefillBody is the body of a prefill.
type prefillBody struct {
	Model        ident.ModelID `json:"model"`
	Prompt       Prompt        `json:"prompt"`
	MaxTokens    int           `json:"max_tokens"`
	Priority     int           `json:"priority"`
	ContinueFrom []int         `json:"continue_from,omitempty"`
	Transfer     struct {
		RemoteDecode bool `json:"do_remote_decode"`
	} `json:"kv_transfer_params"`
}

// prefillAnswer is the answer to a prefill.
type prefillAnswer struct {
	ID    string `json:"id"`
	Usage struct {
		PromptTokens ident.Tokens `json:"prompt_tokens"`
	} `json:"usage"`
	Transfer json.RawMessage `json:"kv_transfer_params"`
}

// Prefill runs the prefill phase.
func (c *Client) Prefill(ctx context.Context, to ident.Address, p PrefillCall) (Prefilled, error) {
	body := prefillBody{Model: p.Model, Prompt: p.Prompt, MaxTokens: 1, Priority: int(p.Priority), ContinueFrom: p.ContinueFrom}
	body.Transfer.RemoteDecode = true
	call, err := c.completionCall(to, p.Attempt, p.Limits, body)
	if err != nil {
		return Prefilled{}, err
	}
	whole, err := c.whole(ctx, call)
	if err != nil {
		return Prefilled{}, err
	}
	var answer prefillAnswer
	if err := json.Unmarshal(whole, &answer); err != nil {
		return Prefilled{}, fault.Wrap(err, fault.AnswerBroken, "the prefill engine's answer is malformed")
	}
	if answer.ID != p.Attempt {
		c.http.CountCrossed()
		return Prefilled{}, fault.New(fault.AnswerBroken, "the prefill engine answered another request")
	}
	if len(answer.Transfer) == 0 {
		return Prefilled{}, fault.New(fault.AnswerBroken, "the prefill engine's answer has no transfer parameters")
	}
	return Prefilled{PromptTokens: answer.Usage.PromptTokens, Transfer: answer.Transfer}, nil
}

// statusOK reports whether a status announces a result.
func statusOK(status int) bool { return status == http.StatusOK }
