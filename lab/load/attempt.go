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

	"monsoonfork/io/standin/engine"
	"monsoonfork/io/standin/service"
	"monsoonfork/lab/workload"
)

// maxDials is the number of instances that the balancer tries when one takes
// no connection.
const maxDials = 4

// completionBody is the body of a completion.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// errorBody is the body of an error.
type errorBody struct {
	Error struct {
		Type      string `json:"type"`
		Message   string `json:"message"`
		Ran       string `json:"ran"`
		RequestID string `json:"request_id"`
	} `json:"error"`
}

// attempt makes one call.
func (s *Sender) attempt(ctx context.Context, r workload.Request) Attempt {
	if s.cfg.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.cfg.Timeout)
		defer cancel()
	}
	if r.LeaveAfter == 0 {
		return s.attemptOnce(ctx, r)
	}
	ctx, leave := context.WithTimeout(ctx, r.LeaveAfter)
	defer leave()
	a := s.attemptOnce(ctx, r)
	if ctx.Err() != nil && (a.Outcome == NoAnswer || a.Outcome == Broken) {
		a.Outcome = Left
	}
	return a
}

// attemptOnce makes one call until its end or that of ctx.
func (s *Sender) attemptOnce(ctx context.Context, r workload.Request) Attempt {
	start := time.Now()
	a := Attempt{Outcome: NoAnswer, Started: start}
	response, err := s.call(ctx, r, &a)
	if err != nil {
		a.Detail = err.Error()
		a.Took = time.Since(start)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.Status = response.StatusCode
	a.RequestID = response.Header.Get("X-Request-Id")
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		a.RetryAfter = time.Duration(seconds) * time.Second
	}
	switch {
	case response.StatusCode >= http.StatusMultipleChoices:
		readError(response, &a)
	case r.Kind == workload.Completion && r.Stream:
		s.readStream(response.Body, r, &a, start)
	case r.Kind == workload.Completion:
		s.readWhole(response.Body, r, &a)
	default:
		readPlain(response.Body, r, &a)
	}
	a.Took = time.Since(start)
	return a
}

// call sends the request. As a balancer does, it turns to another instance when
// one takes no connection.
func (s *Sender) call(ctx context.Context, r workload.Request, a *Attempt) (*http.Response, error) {
	var failure error
	for range maxDials {
		target, ok := s.next()
		if !ok {
			return nil, errors.New("no instance is in use")
		}
		a.Target = target
		request, err := s.newRequest(ctx, target, r)
		if err != nil {
			return nil, err
		}
		response, err := s.clientFor(r).Do(request)
		var dial *net.OpError
		if err == nil || !errors.As(err, &dial) || dial.Op != "dial" {
			return response, err
		}
		failure = err
	}
	a.Outcome = NotRun
	return nil, failure
}

// clientFor returns the client for a request.
func (s *Sender) clientFor(r workload.Request) *http.Client {
	if r.Kind.Once() {
		return s.fresh
	}
	return s.client
}

// newRequest returns the HTTP request.
func (s *Sender) newRequest(ctx context.Context, target string, r workload.Request) (*http.Request, error) {
	method, path, body, err := s.parts(r)
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
	if r.Kind.Once() {
		request.Header.Set("Idempotency-Key", "key-"+r.Reference)
	}
	return request, nil
}

// parts returns method, path and body of a request.
func (s *Sender) parts(r workload.Request) (method, path, body string, err error) {
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
		data, err := json.Marshal(completionBody{
			Model:     string(s.cfg.Workload.Model),
			Prompt:    r.Prompt,
			MaxTokens: r.MaxTokens,
			Stream:    r.Stream,
		})
		return http.MethodPost, "/v1/completions", string(data), err
	}
}

// readError reads what an error answer says about whether the request ran.
func readError(response *http.Response, a *Attempt) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		a.Detail = err.Error()
		return
	}
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil {
		a.Outcome = Wrong
		a.Detail = fmt.Sprintf("status %d without an error body: %.200s", response.StatusCode, data)
		return
	}
	a.ErrorType = body.Error.Type
	a.Detail = body.Error.Message
	a.Outcome = outcomeOf(body.Error.Ran)
	if header := response.Header.Get("X-Ran"); header != body.Error.Ran {
		a.Outcome = Wrong
		a.Detail = fmt.Sprintf("the header says %q, the body %q", header, body.Error.Ran)
	}
}

// outcomeOf returns the outcome for the words of an error answer.
func outcomeOf(ran string) Outcome {
	switch ran {
	case "not run":
		return NotRun
	case "may have run":
		return MayHaveRun
	case "ran":
		return Ran
	}
	return Wrong
}

// readPlain checks the answer of the plain service.
func readPlain(body io.Reader, r workload.Request, a *Attempt) {
	data, err := io.ReadAll(body)
	if err != nil {
		a.Outcome = Broken
		a.Detail = err.Error()
		return
	}
	var answer struct {
		ID        string `json:"id"`
		Reference string `json:"reference"`
		Cancelled bool   `json:"cancelled"`
		Status    string `json:"status"`
	}
	right := json.Unmarshal(data, &answer) == nil
	switch r.Kind {
	case workload.Create:
		right = right && answer.Reference == r.Reference
	case workload.Cancel:
		right = right && answer.ID == r.Reference && answer.Cancelled
	case workload.Lookup:
		right = right && answer.ID == r.Reference
	default:
		right = right && answer.Status == "ok"
	}
	a.judge(right, string(data))
}

// judge sets the outcome of an answer that looks complete.
func (a *Attempt) judge(right bool, detail string) {
	a.Outcome = Whole
	if !right {
		a.Outcome = Wrong
		a.Detail = fmt.Sprintf("wrong answer: %.200s", detail)
	}
}

// expectedText returns the right answer to a completion.
func expectedText(r workload.Request) string {
	return engine.ExpectedText(engine.WordsPrompt(r.Prompt), r.MaxTokens)
}
