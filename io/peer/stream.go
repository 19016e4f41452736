package peer

import (
	"bufio"
	"net"

	"github.com/hashicorp/yamux"
)

// maxIdleStreams bounds the idle streams that a session keeps for later calls.
const maxIdleStreams = 16

// callStream is a stream that carries calls one at a time.
type callStream struct {
	stream net.Conn
	reader *bufio.Reader
}

// roundTrip writes one call and reads its reply.
func (s *callStream) roundTrip(header *CallHeader) (*Reply, error) {
	if err := writeMessage(s.stream, header); err != nil {
		return nil, err
	}
	reply := &Reply{}
	if err := readMessage(s.reader, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// acquireStream removes and returns an idle stream of session, or opens a new one.
func (d *dialedSession) acquireStream(session *yamux.Session) (*callStream, error) {
	d.idleMu.Lock()
	if n := len(d.idle); n > 0 && d.idleSession == session {
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
	return &callStream{stream: stream, reader: newStreamReader(stream)}, nil
}

// releaseStream keeps a stream for a later call. It closes the stream if
// maxIdleStreams are kept already or session is no longer the current one.
func (d *dialedSession) releaseStream(session *yamux.Session, s *callStream) {
	d.idleMu.Lock()
	keep := d.idleSession == session && len(d.idle) < maxIdleStreams
	if keep {
		d.idle = append(d.idle, s)
	}
	d.idleMu.Unlock()
	if !keep {
		_ = s.stream.Close()
	}
}

// replaceSession makes session the current one and closes the idle streams of the
// previous session.
func (d *dialedSession) replaceSession(session *yamux.Session) {
	d.session = session
	d.idleMu.Lock()
	idle := d.idle
	d.idle = nil
	d.idleSession = session
	d.idleMu.Unlock()
	for _, s := range idle {
		_ = s.stream.Close()
	}
}
