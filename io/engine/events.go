package engine

import (
	"bytes"

	"monsoonfork/core/fault"
)

// maxEventBytes bounds the buffered part of an incomplete line, and with it the size
// of an event.
const maxEventBytes = 1 << 20

// eventReader splits a stream into server-sent events. It uses only the "data"
// field, which engines send on one line.
type eventReader struct {
	partialLine []byte // Bytes of a line whose end has not been received.
}

// feed appends a chunk of the stream and calls onData for each complete data line.
func (r *eventReader) feed(chunk []byte, onData func([]byte) error) error {
	searched := len(r.partialLine) // It has no line break.
	r.partialLine = append(r.partialLine, chunk...)
	for {
		end := bytes.IndexByte(r.partialLine[searched:], '\n')
		if end < 0 {
			break
		}
		end += searched
		searched = 0
		line := bytes.TrimRight(r.partialLine[:end], "\r")
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if ok {
			if err := onData(bytes.TrimSpace(data)); err != nil {
				return err
			}
		}
		r.partialLine = r.partialLine[end+1:]
	}
	if len(r.partialLine) > maxEventBytes {
		return fault.New(fault.AnswerBroken, "the engine sent an event of more than %d bytes", maxEventBytes)
	}
	return nil
}
