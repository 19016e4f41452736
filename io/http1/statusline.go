package http1

import "net/http"

const (
	// statusLineStart is how a status line begins, with a 'd' for each digit.
	statusLineStart = "HTTP/1.d ddd"
	// majorIndex is the index of the major version in it, and minorIndex of the minor one.
	majorIndex, minorIndex = len("HTTP/"), len("HTTP/1.")
	// statusIndex is the index of the first digit of the status in it.
	statusIndex = len("HTTP/1.d ")
)

// statusLine checks a status line byte by byte (RFC 9112, 2.3 and 4). The space and the reason phrase
// after the status may be missing.
type statusLine struct {
	size    int // Bytes that were checked.
	minor   int // Minor version.
	status  int
	afterCR bool // After a carriage return.
	ended   bool
}

// next checks the next byte of the line.
func (l *statusLine) next(b byte) Problem {
	index := l.size
	l.size++
	switch {
	case index < len(statusLineStart):
		return l.nextOfStart(index, b)
	case b == '\n':
		l.ended = true
	case l.afterCR:
		return ControlCharacter
	case b == '\r':
		l.afterCR = true
	case index == len(statusLineStart) && b != ' ':
		return InvalidStatusLine
	case !textTable[b]:
		return ControlCharacter
	}
	return NoProblem
}

// nextOfStart checks a byte of the version or the status.
func (l *statusLine) nextOfStart(index int, b byte) Problem {
	isDigit := '0' <= b && b <= '9'
	want := statusLineStart[index]
	switch {
	case index == majorIndex && isDigit && b != want:
		return UnknownVersion
	case want == 'd' && !isDigit, want != 'd' && b != want:
		return InvalidStatusLine
	case index == minorIndex:
		l.minor = int(b - '0')
	case index >= statusIndex:
		l.status = l.status*10 + int(b-'0')
	}
	return NoProblem
}

// isInterim reports whether another response follows this one on the connection.
func (l *statusLine) isInterim() bool {
	return l.status >= 100 && l.status < 200 && l.status != http.StatusSwitchingProtocols
}
