package http1

import "math"

// maxChunkLine is the maximum size of a line with the size of a chunk, in bytes.
const maxChunkLine = 4 << 10

// chunkState is the position in a chunked body to which the next byte belongs.
type chunkState int

// The states of a chunked body.
const (
	atChunkSize chunkState = iota // Before or in the digits of a size.
	afterSize                     // In the blanks after the digits.
	inExtension
	atSizeEnd // After the carriage return of the line.
	inData
	atDataEnd // After the data.
	atDataLineFeed
	inTrailers // After the last chunk.
)

// ChunkedBody checks a chunked body with its trailer section (RFC 9112, 7.1). The zero value is at the
// start of a body.
type ChunkedBody struct {
	state    chunkState
	line     int   // Bytes of the current size line.
	size     int64 // Of the current chunk, and then what is missing of its data.
	trailers FieldLines
}

// Ended reports whether the end of the trailer section was checked.
func (c *ChunkedBody) Ended() bool { return c.trailers.Ended() }

// InTrailers reports whether the next byte belongs to the trailer section, or the body has ended.
func (c *ChunkedBody) InTrailers() bool { return c.state == inTrailers }

// CheckPart checks the next bytes of a connection, up to the trailer section or its end, and returns their
// number. The body must not have ended.
func (c *ChunkedBody) CheckPart(data []byte) (int, Problem) {
	inTrailersBefore := c.InTrailers()
	for n := 0; n < len(data); {
		if c.state == inData {
			size := int(min(c.size, int64(len(data)-n)))
			c.skipData(size)
			n += size
			continue
		}
		if problem := c.next(data[n]); problem != NoProblem {
			return n, problem
		}
		if n++; c.Ended() || c.InTrailers() != inTrailersBefore {
			return n, NoProblem
		}
	}
	return len(data), NoProblem
}

// skipData takes bytes of the data of a chunk.
func (c *ChunkedBody) skipData(n int) {
	if c.size -= int64(n); c.size == 0 {
		c.state = atDataEnd
	}
}

// next checks the next byte, which is not of the data of a chunk.
func (c *ChunkedBody) next(b byte) Problem {
	switch c.state {
	case atChunkSize, afterSize, inExtension:
		return c.nextInSizeLine(b)
	case atSizeEnd:
		return c.endSizeLine(b)
	case atDataEnd:
		if b != '\r' {
			return InvalidChunk
		}
		c.state = atDataLineFeed
	case atDataLineFeed:
		if b != '\n' {
			return InvalidChunk
		}
		c.state, c.line = atChunkSize, 0
	case inTrailers:
		return c.trailers.CheckByte(b)
	case inData:
	}
	return NoProblem
}

// nextInSizeLine checks a byte of the line with the size of a chunk.
func (c *ChunkedBody) nextInSizeLine(b byte) Problem {
	if c.line++; c.line > maxChunkLine {
		return InvalidChunk
	}
	digit, isDigit := hexDigit(b)
	switch {
	case c.state == atChunkSize && isDigit:
		return c.addDigit(digit)
	case c.line == 1:
		return InvalidChunk
	case b == '\r':
		c.state = atSizeEnd
	case c.state == inExtension && IsText(b):
	case b == ';':
		c.state = inExtension
	case isBlank(b):
		c.state = afterSize
	default:
		return InvalidChunk
	}
	return NoProblem
}

// addDigit adds a digit to the size of the chunk.
func (c *ChunkedBody) addDigit(digit int64) Problem {
	if c.line == 1 {
		c.size = 0
	}
	if c.size > (math.MaxInt64-digit)/16 {
		return InvalidChunk
	}
	c.size = c.size*16 + digit
	return NoProblem
}

// endSizeLine checks the line feed of a size line.
func (c *ChunkedBody) endSizeLine(b byte) Problem {
	switch {
	case b != '\n':
		return InvalidChunk
	case c.size == 0:
		c.state = inTrailers
	default:
		c.state = inData
	}
	return NoProblem
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(b byte) (value int64, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}
