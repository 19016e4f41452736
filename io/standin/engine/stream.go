package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"monsoonfork/io/standin/control"
)

// source says which answer is shown for a request: its own, or that of another
// one while the fault of crossed answers hits it.
type source struct {
	id     string
	answer string // Seed of the tokens.
	offset int    // Index of the first token.
}

// token returns token i of what is shown.
func (s source) token(i int) int { return answerToken(s.answer, s.offset+i) }

// shown returns what is shown for a request.
func (e *Engine) shown(r *http.Request, w *work) source {
	if other, hit := e.crossed(r, w); hit {
		return other
	}
	return source{id: w.id, answer: w.answer, offset: len(w.request.ContinueFrom)}
}

// crossed returns the answer of another request if a fault says so.
func (e *Engine) crossed(r *http.Request, w *work) (source, bool) {
	if _, hit := e.server.Faults.Take(control.CrossAnswer, control.RequestOf(r)); !hit {
		return source{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, other := range e.works {
		if id != w.id {
			return source{id: id, answer: other.answer, offset: len(other.request.ContinueFrom)}, true
		}
	}
	return source{id: "crossed-" + w.id, answer: hashTokens([]string{w.id})}, true
}

// stream writes the events of one answer.
type stream struct {
	w     http.ResponseWriter
	flush *http.ResponseController
	gone  bool // The caller is gone.
	sent  int  // Tokens sent.
}

// answerStream writes each token as it comes.
func (e *Engine) answerStream(w http.ResponseWriter, r *http.Request, running *work) {
	shown := e.shown(r, running)
	stall, stalls := e.server.Faults.Take(control.StallStream, control.RequestOf(r))
	cut, cuts := e.server.Faults.Take(control.CutStream, control.RequestOf(r))
	out := &stream{w: w, flush: http.NewResponseController(w)}
	for range running.tokens {
		if cuts && out.sent >= cut.AfterTokens {
			panic(http.ErrAbortHandler)
		}
		if stalls && out.sent >= stall.AfterTokens {
			e.server.WaitUntilGone(r)
			panic(http.ErrAbortHandler)
		}
		last := out.sent+1 == running.request.MaxTokens
		out.send(eventOf(shown, out.sent, last, running))
		if out.gone {
			return
		}
	}
	<-running.ended
	if out.sent == 0 {
		e.answerError(w, running)
		return
	}
	if out.sent < running.request.MaxTokens {
		// The request was aborted: the answer must not look complete.
		panic(http.ErrAbortHandler)
	}
	out.write("data: [DONE]\n\n")
}

// eventOf returns the event of token i.
func eventOf(shown source, i int, last bool, w *work) Completion {
	token := shown.token(i)
	event := Completion{
		ID:      shown.id,
		Choices: []Choice{{Text: TokenText(token), TokenIDs: []int{token}}},
	}
	if last {
		reason := finishLength
		event.Choices[0].FinishReason = &reason
		event.Usage = usageOf(w, i+1)
	}
	return event
}

// send writes an event.
func (s *stream) send(event Completion) {
	if s.sent == 0 {
		s.w.Header().Set("Content-Type", "text/event-stream")
	}
	data, err := json.Marshal(event)
	if err != nil {
		panic(err)
	}
	s.write(fmt.Sprintf("data: %s\n\n", data))
	s.sent++
}

// write writes text at once, and notes when the caller is gone.
func (s *stream) write(text string) {
	if _, err := s.w.Write([]byte(text)); err != nil {
		s.gone = true
		return
	}
	if s.flush.Flush() != nil {
		s.gone = true
	}
}
