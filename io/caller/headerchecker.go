package caller

import (
	"monsoonfork/core/fault"
	"monsoonfork/io/http1"
)

// headerChecker validates the request line and the header lines as they arrive. The parser
// of nbhttp accepts malformed lines that other HTTP implementations between caller and
// server interpret differently, which would allow request smuggling.
type headerChecker struct {
	methodEnded      bool
	requestLineEnded bool
	fields           http1.FieldLines
}

// check returns an error if a line is malformed.
func (h *headerChecker) check(data []byte) *fault.Error {
	for _, b := range data {
		if !h.requestLineEnded {
			if err := h.checkRequestLine(b); err != nil {
				return err
			}
			continue
		}
		if problem := h.fields.CheckByte(b); problem != http1.NoProblem {
			return malformedRequest(problem)
		}
	}
	return nil
}

// checkRequestLine checks a byte of the request line.
func (h *headerChecker) checkRequestLine(b byte) *fault.Error {
	switch {
	case b == '\n':
		h.requestLineEnded = true
	case b != '\r' && !http1.IsText(b):
		return malformedRequest(http1.ControlCharacter)
	case b == ' ', b == '\t':
		h.methodEnded = true
	case !h.methodEnded && 'a' <= b && b <= 'z':
		// The parser would change it to upper case.
		return fault.New(fault.BadRequest, "malformed HTTP request: lower-case letter in the method")
	}
	return nil
}

// malformedRequest returns the rejection of a request whose head has a problem.
func malformedRequest(problem http1.Problem) *fault.Error {
	return fault.New(fault.BadRequest, "malformed HTTP request: %s", problem)
}
