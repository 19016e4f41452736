package engine

import (
	"bytes"

	"monsoonfork/core/fault"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// eventReader splits a stream into server-sent events. Only the "data" field
// is used, which engines send on one line.
type eventReader struct {
	rest []byte // An unfinished line.
}

// feed takes a piece of the stream and calls onData for each data line.
func (r *eventReader) feed(piece []byte, onData func([]byte) error) error {
	r.rest = append(r.rest, piece...)
	for {
		end := bytes.IndexByte(r.rest, '\n')
		if end < 0 {
			break
		}
		line := bytes.TrimRight(r.rest[:end], "\r")
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if ok {
			if err := onData(bytes.TrimSpace(data)); err != nil {
				return err
			}
		}
		r.rest = r.rest[end+1:]
	}
	if len(r.rest) > maxEventBytes {
		return fault.New(fault.AnswerBroken, "the engine sent an event above %d bytes", maxEventBytes)
	}
	return nil
}
