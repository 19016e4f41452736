package http1

import "strings"

// lineState is the position in a section of field lines to which the next byte belongs.
type lineState int

// The states of a section.
const (
	atLineStart  lineState = iota
	inName                 // After the first byte of a name.
	inValue                // After the colon.
	atLineEnd              // After the carriage return of a line.
	atSectionEnd           // After the carriage return of the empty line.
	afterSection           // After the empty line.
)

// FieldLines checks the field lines of a section, which ends with an empty line, byte by byte
// (RFC 9110, 5.1 and 5.5; RFC 9112, 2.2 and 5). A line feed alone ends a line too. The zero value is
// at the start of a section.
type FieldLines struct{ state lineState }

// Ended reports whether the empty line that ends the section was checked.
func (f *FieldLines) Ended() bool { return f.state == afterSection }

// CheckByte checks the next byte of the section.
func (f *FieldLines) CheckByte(b byte) Problem {
	switch f.state {
	case atLineStart:
		return f.nextAtLineStart(b)
	case inName:
		return f.nextInName(b)
	case inValue:
		return f.nextInValue(b)
	case atLineEnd:
		return f.endLine(b, atLineStart)
	case atSectionEnd:
		return f.endLine(b, afterSection)
	case afterSection:
	}
	return NoProblem
}

// run returns how many of the next bytes continue the name or the value that has begun.
func (f *FieldLines) run(data []byte) int {
	var table *[256]bool
	switch f.state {
	case inName:
		table = &tokenTable
	case inValue:
		table = &textTable
	case atLineStart, atLineEnd, atSectionEnd, afterSection:
		return 0
	}
	for n, b := range data {
		if !table[b] {
			return n
		}
	}
	return len(data)
}

// nextAtLineStart checks the first byte of a line.
func (f *FieldLines) nextAtLineStart(b byte) Problem {
	switch {
	case b == '\r':
		f.state = atSectionEnd
	case b == '\n':
		f.state = afterSection
	case isBlank(b):
		return FoldedLine
	case b == ':':
		return InvalidName
	default:
		f.state = inName
		return f.nextInName(b)
	}
	return NoProblem
}

// nextInName checks a byte of a name, or the colon after it.
func (f *FieldLines) nextInName(b byte) Problem {
	switch {
	case tokenTable[b]:
		return NoProblem
	case b == ':':
		f.state = inValue
		return NoProblem
	case isBlank(b):
		return BlankInName
	case b == '\r', b == '\n':
		return MissingColon
	case !textTable[b]:
		return ControlCharacter
	}
	return InvalidName
}

// nextInValue checks a byte of a value, or the first one of the line's end.
func (f *FieldLines) nextInValue(b byte) Problem {
	switch {
	case b == '\r':
		f.state = atLineEnd
	case b == '\n':
		f.state = atLineStart
	case !textTable[b]:
		return ControlCharacter
	}
	return NoProblem
}

// endLine checks the byte after a carriage return, and makes next the state.
func (f *FieldLines) endLine(b byte, next lineState) Problem {
	if b != '\n' {
		return ControlCharacter
	}
	f.state = next
	return NoProblem
}

// isBlank reports whether b is a space or a tab.
func isBlank(b byte) bool { return b == ' ' || b == '\t' }

// tokenTable tells for each byte whether it may stand in a name, textTable whether it may stand in a
// value or a reason phrase.
var (
	tokenTable = newTable(func(b byte) bool {
		isAlphanumeric := '0' <= b && b <= '9' || 'A' <= b && b <= 'Z' || 'a' <= b && b <= 'z'
		return isAlphanumeric || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	})
	textTable = newTable(func(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' })
)

// newTable returns the result of allows for each byte.
func newTable(allows func(byte) bool) (table [256]bool) {
	for b := range table {
		table[b] = allows(byte(b))
	}
	return table
}

// IsName reports whether name may be the name of a field.
func IsName(name string) bool {
	for i := range len(name) {
		if !tokenTable[name[i]] {
			return false
		}
	}
	return name != ""
}

// IsText reports whether b may stand in a value or a reason phrase.
func IsText(b byte) bool { return textTable[b] }
