package peer

import (
	"bufio"
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// exchangeHello sends this instance's Hello and reads the other's.
func (l *Links) exchangeHello(conn net.Conn) (*Hello, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, err
	}
	hello := &Hello{Instance: string(l.self), Domain: string(l.domain)}
	if err := writeMessage(conn, hello); err != nil {
		return nil, err
	}
	remote := &Hello{}
	if err := readMessage(singleBytes{conn}, remote); err != nil {
		return nil, err
	}
	return remote, conn.SetDeadline(time.Time{})
}

// singleBytes reads a connection byte by byte, so that nothing of what follows
// the message is taken from it.
type singleBytes struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (s singleBytes) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(s.Reader, b[:])
	return b[0], err
}

// writeMessage writes m with its length in front, in one write.
func writeMessage(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}

// readMessage reads a message with its length in front.
func readMessage(r protodelim.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r, m)
}

// streamReader returns a buffered reader for a stream that carries one message.
func streamReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, streamBufferBytes) }
