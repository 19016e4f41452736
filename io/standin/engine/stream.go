package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"monsoonfork/io/standin/control"
)

// output identifies the completion that is sent for a request: its own or, if the
// fault CrossAnswer affects the request, that of another request.
type output struct {
	id     string
	seed   string // Seed of the completion tokens.
	offset int    // Index of the first token that is sent.
}

// token returns the token at position i of the response.
func (o output) token(i int) int { return completionToken(o.seed, o.offset+i) }

// outputFor returns the completion to send for a request.
func (e *Engine) outputFor(r *http.Request, a *activeRequest) output {
	if other, hit := e.crossedOutput(r, a); hit {
		return other
	}
	return output{id: a.id, seed: a.seed, offset: len(a.request.ContinueFrom)}
}

// crossedOutput returns the completion of another active request if the fault
// CrossAnswer affects r, or a wrong one if there is no other request.
func (e *Engine) crossedOutput(r *http.Request, a *activeRequest) (output, bool) {
	if _, hit := e.server.Faults.Trigger(control.CrossAnswer, control.NewRequestInfo(r)); !hit {
		return output{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, other := range e.active {
		if id != a.id {
			return output{id: id, seed: other.seed, offset: len(other.request.ContinueFrom)}, true
		}
	}
	return output{id: "crossed-" + a.id, seed: hashTokens([]string{a.id})}, true
}

// eventWriter writes the events of one streamed response.
type eventWriter struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	disconnected bool // The client has disconnected.
	sent         int  // Number of tokens sent.
}

// respondStream sends each completion token as soon as it is generated, subject to
// the faults StallStream and CutStream.
func (e *Engine) respondStream(w http.ResponseWriter, r *http.Request, active *activeRequest) {
	completion := e.outputFor(r, active)
	stall, stalls := e.server.Faults.Trigger(control.StallStream, control.NewRequestInfo(r))
	cut, cuts := e.server.Faults.Trigger(control.CutStream, control.NewRequestInfo(r))
	events := &eventWriter{w: w, controller: http.NewResponseController(w)}
	for range active.tokens {
		if cuts && events.sent >= cut.AfterTokens {
			panic(http.ErrAbortHandler)
		}
		if stalls && events.sent >= stall.AfterTokens {
			e.server.WaitForDisconnect(r)
			panic(http.ErrAbortHandler)
		}
		last := events.sent+1 == active.request.MaxTokens
		events.send(newStreamEvent(completion, events.sent, last, active))
		if events.disconnected {
			return
		}
	}
	<-active.done
	if events.sent == 0 {
		e.respondError(w, active)
		return
	}
	if events.sent < active.request.MaxTokens {
		// The request ended early: close the connection, so that the response does
		// not look complete.
		panic(http.ErrAbortHandler)
	}
	events.write("data: [DONE]\n\n")
}

// newStreamEvent returns the event for token i of the response.
func newStreamEvent(completion output, i int, last bool, a *activeRequest) Completion {
	token := completion.token(i)
	event := Completion{
		ID:      completion.id,
		Choices: []Choice{{Text: TokenText(token), TokenIDs: []int{token}}},
	}
	if last {
		reason := finishLength
		event.Choices[0].FinishReason = &reason
		event.Usage = newUsage(a, i+1)
	}
	return event
}

// send writes an event that holds one token.
func (ew *eventWriter) send(event Completion) {
	if ew.sent == 0 {
		ew.w.Header().Set("Content-Type", "text/event-stream")
	}
	data, err := json.Marshal(event)
	if err != nil {
		panic(err)
	}
	ew.write(fmt.Sprintf("data: %s\n\n", data))
	ew.sent++
}

// write writes and flushes text. On failure it sets disconnected.
func (ew *eventWriter) write(text string) {
	if _, err := ew.w.Write([]byte(text)); err != nil {
		ew.disconnected = true
		return
	}
	if ew.controller.Flush() != nil {
		ew.disconnected = true
	}
}
