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

// directBody is the body of a call to an engine.
type directBody struct {
	Model            string                `json:"model"`
	Prompt           string                `json:"prompt"`
	MaxTokens        int                   `json:"max_tokens"`
	Stream           bool                  `json:"stream"`
	KVTransferParams engine.TransferParams `json:"kv_transfer_params"`
}

// direct calls a prefill and a decode engine without monsoonfork, and returns
// the time to the first token.
func (m *measurement) direct(ctx context.Context, id, prompt string) (time.Duration, error) {
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
	body.MaxTokens = answerTokens
	body.Stream = true
	body.KVTransferParams = answer.KVTransferParams
	response, err = m.post(ctx, decode, id+"-d", body)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return firstEvent(response.Body, start)
}

// firstEvent returns the time of the first event and reads the rest.
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

// post posts a body to an engine.
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
