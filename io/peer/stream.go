package peer

import (
	"bufio"
	"net"

	"github.com/hashicorp/yamux"
)

// maxIdleStreams is how many streams without a call a session keeps.
const maxIdleStreams = 16

// callStream is a stream that carries one call after another.
type callStream struct {
	stream net.Conn
	r      *bufio.Reader
}

// exchange writes one call and reads its reply.
func (s *callStream) exchange(header *CallHeader) (*Reply, error) {
	if err := writeMessage(s.stream, header); err != nil {
		return nil, err
	}
	reply := &Reply{}
	if err := readMessage(s.r, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// takeStream returns an idle stream of session, or opens one.
func (d *dialedSession) takeStream(session *yamux.Session) (*callStream, error) {
	d.idleMu.Lock()
	if n := len(d.idle); n > 0 && d.idleOwner == session {
		s := d.idle[n-1]
		d.idle = d.idle[:n-1]
		d.idleMu.Unlock()
		return s, nil
	}
	d.idleMu.Unlock()
	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	return &callStream{stream: stream, r: streamReader(stream)}, nil
}

// giveStream keeps a stream for the next call, or closes it when there are
// enough or its session is no longer the current one.
func (d *dialedSession) giveStream(session *yamux.Session, s *callStream) {
	d.idleMu.Lock()
	keep := d.idleOwner == session && len(d.idle) < maxIdleStreams
	if keep {
		d.idle = append(d.idle, s)
	}
	d.idleMu.Unlock()
	if !keep {
		_ = s.stream.Close()
	}
}

// adopt makes session the current one, and closes the idle streams of the one
// before.
func (d *dialedSession) adopt(session *yamux.Session) {
	d.session = session
	d.idleMu.Lock()
	idle := d.idle
	d.idle = nil
	d.idleOwner = session
	d.idleMu.Unlock()
	for _, s := range idle {
		_ = s.stream.Close()
	}
}
