package http1

// ResponseHead checks the head of a response, and of the interim responses before it. The zero value
// is at the start of a response.
type ResponseHead struct {
	status  statusLine
	fields  FieldLines
	framing framing
	ended   bool
}

// Ended reports whether the head of the final response was checked.
func (h *ResponseHead) Ended() bool { return h.ended }

// InStatusLine reports whether the next byte belongs to a status line.
func (h *ResponseHead) InStatusLine() bool { return !h.status.ended }

// Status returns the status of the current response, once its status line has ended.
func (h *ResponseHead) Status() int { return h.status.status }

// IsChunked reports whether the body of the response is chunked, once its head has ended.
func (h *ResponseHead) IsChunked() bool { return h.framing.isChunked }

// IsInterim reports whether the current response is an interim one.
func (h *ResponseHead) IsInterim() bool { return h.status.isInterim() }

// Check checks the next bytes of a connection, as far as they belong to the head.
func (h *ResponseHead) Check(data []byte) Problem {
	for len(data) > 0 && !h.ended {
		n, problem := h.CheckLine(data)
		if problem != NoProblem {
			return problem
		}
		data = data[n:]
	}
	return NoProblem
}

// CheckLine checks the next bytes of a connection up to the end of the current line, or all of them if
// the line does not end in them, and returns their number. The head must not have ended.
func (h *ResponseHead) CheckLine(data []byte) (int, Problem) {
	for n := 0; n < len(data); n++ {
		if size := h.fields.run(data[n:]); size > 0 {
			h.framing.add(h.fields.state, data[n:n+size])
			if n += size; n == len(data) {
				break
			}
		}
		if problem := h.next(data[n]); problem != NoProblem {
			return n, problem
		}
		if data[n] == '\n' {
			return n + 1, NoProblem
		}
	}
	return len(data), NoProblem
}

// next checks the next byte.
func (h *ResponseHead) next(b byte) Problem {
	if !h.status.ended {
		return h.status.next(b)
	}
	before := h.fields.state
	if problem := h.fields.CheckByte(b); problem != NoProblem {
		return problem
	}
	switch {
	case h.fields.state == inName:
		h.framing.add(inName, []byte{b})
	case before == inName:
		h.framing.endName()
	case before == inValue:
		return h.framing.endLine(h.status.minor)
	case h.fields.Ended():
		h.endResponse()
	}
	return NoProblem
}

// endResponse ends the head of a response: an interim one is followed by another.
func (h *ResponseHead) endResponse() {
	if h.status.isInterim() {
		*h = ResponseHead{}
		return
	}
	h.ended = true
}
