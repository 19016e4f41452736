package overhead

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"monsoonfork/io/standin/engine"
)

// directBody is the request body of a call to an engine.
type directBody struct {
	Model            string                `json:"model"`
	Prompt           string                `json:"prompt"`
	MaxTokens        int                   `json:"max_tokens"`
	Stream           bool                  `json:"stream"`
	KVTransferParams engine.TransferParams `json:"kv_transfer_params"`
}

// directCompletion calls a prefill and then a decode engine without monsoonfork, and
// returns the time to the first token.
func (m *measurement) directCompletion(ctx context.Context, id, prompt string) (time.Duration, error) {
	start := time.Now()
	prefill, decode := m.engineAddresses()
	body := directBody{Model: m.model(), Prompt: prompt, MaxTokens: 1, KVTransferParams: engine.TransferParams{DoRemoteDecode: true}}
	response, err := m.post(ctx, prefill, id+"-p", body)
	if err != nil {
		return 0, err
	}
	var answer engine.PrefillResponse
	err = json.NewDecoder(response.Body).Decode(&answer)
	_ = response.Body.Close()
	if err != nil {
		return 0, err
	}
	body.MaxTokens = outputTokens
	body.Stream = true
	body.KVTransferParams = answer.KVTransferParams
	response, err = m.post(ctx, decode, id+"-d", body)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return firstEvent(response.Body, start)
}

// firstEvent reads a stream to its end and returns the time from start to its first
// event.
func firstEvent(body io.Reader, start time.Time) (time.Duration, error) {
	lines := bufio.NewScanner(body)
	var first time.Duration
	for lines.Scan() {
		if first == 0 && strings.HasPrefix(lines.Text(), "data:") {
			first = time.Since(start)
		}
	}
	if first == 0 && lines.Err() == nil {
		return 0, io.ErrUnexpectedEOF
	}
	return first, lines.Err()
}

// post sends a completion request to an engine; any status but 200 is an error.
func (m *measurement) post(ctx context.Context, address, id string, body directBody) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Holder", "direct")
	response, err := m.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("%s: %s", address, response.Status)
	}
	return response, nil
}
