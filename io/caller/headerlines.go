package caller

import "monsoonfork/core/fault"

// linePart is the part of the head of a request that the next byte belongs to.
type linePart int

// The parts.
const (
	inRequestLine linePart = iota
	atLineStart
	inName
	inValue
)

// headerLines checks the lines of the head of a request as they come. The
// library's parser takes some that other programs on the way read differently,
// which would let a caller hide a request in another one.
type headerLines struct {
	part linePart
}

// check returns an error if a line is malformed.
func (h *headerLines) check(data []byte) *fault.Error {
	for _, b := range data {
		if b == '\n' {
			h.part = atLineStart
			continue
		}
		if isControl(b) {
			return fault.New(fault.BadRequest, "malformed HTTP request: control character in the headers")
		}
		if err := h.take(b); err != nil {
			return err
		}
	}
	return nil
}

// take checks a byte that does not end a line.
func (h *headerLines) take(b byte) *fault.Error {
	blank := b == ' ' || b == '\t'
	switch h.part {
	case atLineStart:
		if blank {
			return fault.New(fault.BadRequest, "malformed HTTP request: a header that goes on in the next line")
		}
		h.part = inName
	case inName:
		if blank {
			return fault.New(fault.BadRequest, "malformed HTTP request: blank in the name of a header")
		}
		if b == ':' {
			h.part = inValue
		}
	case inRequestLine, inValue:
	}
	return nil
}

// isControl reports whether a byte may not stand inside a line.
func isControl(b byte) bool {
	return (b < ' ' && b != '\t' && b != '\r') || b == 0x7f
}
