package caller

import "monsoonfork/core/fault"

// lineState is the position in the header section to which the next byte belongs.
type lineState int

// The states of a line of the header section.
const (
	inMethod lineState = iota
	inRequestLine
	atLineStart
	inName
	inValue
)

// headerChecker validates the request line and header lines as they arrive. The parser
// of nbhttp accepts malformed lines that other HTTP implementations between caller and
// server interpret differently, which would allow request smuggling.
type headerChecker struct {
	state lineState
}

// check returns an error if a line is malformed.
func (h *headerChecker) check(data []byte) *fault.Error {
	for _, b := range data {
		if b == '\n' {
			h.state = atLineStart
			continue
		}
		if isControl(b) {
			return fault.New(fault.BadRequest, "malformed HTTP request: control character in the headers")
		}
		if err := h.checkByte(b); err != nil {
			return err
		}
	}
	return nil
}

// checkByte checks a byte other than a line feed.
func (h *headerChecker) checkByte(b byte) *fault.Error {
	whitespace := b == ' ' || b == '\t'
	switch h.state {
	case inMethod:
		if 'a' <= b && b <= 'z' {
			// The parser would change it to upper case.
			return fault.New(fault.BadRequest, "malformed HTTP request: lower-case letter in the method")
		}
		if whitespace {
			h.state = inRequestLine
		}
	case atLineStart:
		if whitespace {
			return fault.New(fault.BadRequest, "malformed HTTP request: folded header line")
		}
		h.state = inName
	case inName:
		if whitespace {
			return fault.New(fault.BadRequest, "malformed HTTP request: space or tab in a header name")
		}
		if b == ':' {
			h.state = inValue
		}
	case inRequestLine, inValue:
	}
	return nil
}

// isControl reports whether b is a control character that a line must not contain.
func isControl(b byte) bool {
	return (b < ' ' && b != '\t' && b != '\r') || b == 0x7f
}
