package peer

import (
	"bufio"
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// handshake sends a Hello with this instance's id and failure domain and returns the
// Hello of the remote instance.
func (l *Links) handshake(conn net.Conn) (*Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	hello := &Hello{Instance: string(l.self), Domain: string(l.domain)}
	if err := writeMessage(conn, hello); err != nil {
		return nil, err
	}
	remote := &Hello{}
	if err := readMessage(unbufferedReader{conn}, remote); err != nil {
		return nil, err
	}
	return remote, conn.SetDeadline(time.Time{})
}

// unbufferedReader reads a connection without buffering, so that it consumes no bytes
// beyond the end of a message.
type unbufferedReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (s unbufferedReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(s.Reader, b[:])
	return b[0], err
}

// writeMessage writes m with a length prefix in one write.
func writeMessage(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}

// readMessage reads a message with a length prefix.
func readMessage(r protodelim.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r, m)
}

// newStreamReader returns a buffered reader for the messages of one stream.
func newStreamReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, streamBufferBytes) }
