package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"monsoonfork/io/standin/control"
	"monsoonfork/io/standin/engine"
	"monsoonfork/io/standin/service"
	"monsoonfork/lab/workload"
)

// maxConnectAttempts is the maximum number of instances that the simulated
// balancer tries to connect to for one attempt.
const maxConnectAttempts = 4

// completionRequest is the body of a completion request.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// errorResponse is the body of an error answer.
type errorResponse struct {
	Error struct {
		Type      string `json:"type"`
		Message   string `json:"message"`
		Ran       string `json:"ran"`
		RequestID string `json:"request_id"`
	} `json:"error"`
}

// sendAttempt makes one attempt under the configured timeout. If the request has
// a time after which its caller disconnects, it cancels the attempt then.
func (s *Sender) sendAttempt(ctx context.Context, r workload.Request) Attempt {
	if s.cfg.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.cfg.Timeout)
		defer cancel()
	}
	if r.DisconnectAfter == 0 {
		return s.sendUntilDone(ctx, r)
	}
	ctx, cancel := context.WithTimeout(ctx, r.DisconnectAfter)
	defer cancel()
	a := s.sendUntilDone(ctx, r)
	if ctx.Err() != nil && (a.Outcome == NoAnswer || a.Outcome == Truncated) {
		a.Outcome = CallerDisconnected
	}
	return a
}

// sendUntilDone makes one attempt, which ends with the answer or with ctx.
func (s *Sender) sendUntilDone(ctx context.Context, r workload.Request) Attempt {
	start := time.Now()
	a := Attempt{Outcome: NoAnswer, Started: start}
	response, err := s.sendWithFailover(ctx, r, &a)
	if err != nil {
		a.Detail = err.Error()
		a.Latency = time.Since(start)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.Status = response.StatusCode
	a.RequestID = response.Header.Get("X-Request-Id")
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		a.RetryAfter = time.Duration(seconds) * time.Second
	}
	switch {
	case response.Header.Get(control.MalformedHeader) != "":
		a.Outcome, a.Detail = Incorrect, "answer of an endpoint with a malformed head"
	case response.StatusCode >= http.StatusMultipleChoices:
		readError(response, &a)
	case r.Kind == workload.Completion && r.Stream:
		s.readStream(response.Body, r, &a, start)
	case r.Kind == workload.Completion:
		s.readUnstreamed(response.Body, r, &a)
	default:
		readServiceAnswer(response.Body, r, &a)
	}
	a.Latency = time.Since(start)
	return a
}

// sendWithFailover sends the request. As a load balancer does, it fails over to
// the next instance if an instance accepts no connection.
func (s *Sender) sendWithFailover(ctx context.Context, r workload.Request, a *Attempt) (*http.Response, error) {
	var lastErr error
	for range maxConnectAttempts {
		target, ok := s.nextInstance()
		if !ok {
			return nil, errors.New("the balancer uses no instance")
		}
		a.Target = target
		request, err := s.newHTTPRequest(ctx, target, r)
		if err != nil {
			return nil, err
		}
		response, err := s.clientFor(r).Do(request)
		var opErr *net.OpError
		if err == nil || !errors.As(err, &opErr) || opErr.Op != "dial" {
			return response, err
		}
		lastErr = err
	}
	a.Outcome = NotRun
	return nil, lastErr
}

// clientFor returns the HTTP client for a request. Calls that must be executed
// at most once use a new connection each.
func (s *Sender) clientFor(r workload.Request) *http.Client {
	if r.Kind.AtMostOnce() {
		return s.noReuseClient
	}
	return s.client
}

// newHTTPRequest returns the HTTP request to send to target.
func (s *Sender) newHTTPRequest(ctx context.Context, target string, r workload.Request) (*http.Request, error) {
	method, path, body, err := s.requestParts(r)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if r.Kind != workload.Status {
		request.Header.Set("Authorization", "Bearer "+s.cfg.Keys[r.Organisation])
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	if r.Kind.AtMostOnce() {
		request.Header.Set("Idempotency-Key", "key-"+r.Reference)
	}
	return request, nil
}

// requestParts returns the HTTP method, path and body of a request.
func (s *Sender) requestParts(r workload.Request) (method, path, body string, err error) {
	switch r.Kind {
	case workload.Create:
		data, err := json.Marshal(service.BookingRequest{Reference: r.Reference, Client: string(r.Organisation)})
		return http.MethodPost, s.cfg.Workload.CreatePath, string(data), err
	case workload.Cancel:
		return http.MethodDelete, "/bookings/" + url.PathEscape(r.Reference), "", nil
	case workload.Lookup:
		return http.MethodGet, "/addresses/" + url.PathEscape(r.Reference), "", nil
	case workload.Status:
		return http.MethodGet, "/status", "", nil
	default:
		data, err := json.Marshal(completionRequest{
			Model:     string(s.cfg.Workload.Model),
			Prompt:    r.Prompt,
			MaxTokens: r.MaxTokens,
			Stream:    r.Stream,
		})
		return http.MethodPost, "/v1/completions", string(data), err
	}
}

// readError sets the outcome from an error answer, which says whether the
// request was executed. The header and the body must agree.
func readError(response *http.Response, a *Attempt) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.Detail = err.Error()
		return
	}
	var body errorResponse
	if err := json.Unmarshal(data, &body); err != nil {
		a.Outcome = Incorrect
		a.Detail = fmt.Sprintf("status %d with a malformed error body: %.200s", response.StatusCode, data)
		return
	}
	a.ErrorType = body.Error.Type
	a.Detail = body.Error.Message
	a.Outcome = outcomeFromRan(body.Error.Ran)
	if header := response.Header.Get("X-Ran"); header != body.Error.Ran {
		a.Outcome = Incorrect
		a.Detail = fmt.Sprintf("header X-Ran is %q, but the body has %q", header, body.Error.Ran)
	}
}

// outcomeFromRan returns the outcome that the field ran of an error answer
// stands for, and Incorrect for an unknown value.
func outcomeFromRan(ran string) Outcome {
	switch ran {
	case "not run":
		return NotRun
	case "may have run":
		return MayHaveRun
	case "ran":
		return Ran
	}
	return Incorrect
}

// readServiceAnswer checks an answer of the plain service.
func readServiceAnswer(body io.Reader, r workload.Request, a *Attempt) {
	data, err := io.ReadAll(body)
	if err != nil {
		a.Outcome = Truncated
		a.Detail = err.Error()
		return
	}
	var answer struct {
		ID        string `json:"id"`
		Reference string `json:"reference"`
		Cancelled bool   `json:"cancelled"`
		Status    string `json:"status"`
	}
	correct := json.Unmarshal(data, &answer) == nil
	switch r.Kind {
	case workload.Create:
		correct = correct && answer.Reference == r.Reference
	case workload.Cancel:
		correct = correct && answer.ID == r.Reference && answer.Cancelled
	case workload.Lookup:
		correct = correct && answer.ID == r.Reference
	default:
		correct = correct && answer.Status == "ok"
	}
	a.setCompleteOutcome(correct, string(data))
}

// setCompleteOutcome sets the outcome of an answer that looks complete.
func (a *Attempt) setCompleteOutcome(correct bool, detail string) {
	a.Outcome = Complete
	if !correct {
		a.Outcome = Incorrect
		a.Detail = fmt.Sprintf("incorrect answer: %.200s", detail)
	}
}

// expectedText returns the answer that a simulated engine gives to a completion.
func expectedText(r workload.Request) string {
	return engine.ExpectedText(engine.WordsPrompt(r.Prompt), r.MaxTokens)
}
