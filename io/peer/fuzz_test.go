package peer

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

const (
	// fuzzInputTime bounds the time for the bytes of one connection.
	fuzzInputTime = 5 * time.Second
	// fuzzInputMemory bounds what an instance may allocate for a connection with few bytes: a
	// message of the largest size, and the buffers of both ends.
	fuzzInputMemory = 2*maxMessageBytes + 2<<20
)

// encoded returns a message with its length prefix.
func encoded(m proto.Message) []byte {
	var b bytes.Buffer
	_ = writeMessage(&b, m)
	return b.Bytes()
}

// session returns the bytes that an instance sends on a new connection: its Hello, and frames
// that open a stream and send data on it.
func session(data []byte) []byte {
	b := encoded(&Hello{Instance: "x-1", Domain: "d"})
	frame := []byte{0, 0, 0, 1, 0, 0, 0, 1, 0, 0, byte(len(data) >> 8), byte(len(data))}
	return append(append(b, frame...), data...)
}

// fuzzSessions are what an instance may send on a new connection.
func fuzzSessions() [][]byte {
	payload, _ := proto.Marshal(&Hello{Instance: "x"})
	return [][]byte{
		session(encoded(&CallHeader{Method: "Test.Echo", TimeoutUs: 1e6, Payload: payload})),
		session(encoded(&CallHeader{Method: "Test.Echo", TimeoutUs: math.MaxInt64, Payload: []byte{0xff}})),
		session(encoded(&CallHeader{Method: "Test.None", TimeoutUs: math.MinInt64})),
		session(bytes.Repeat(encoded(&CallHeader{Method: "Test.Echo", TimeoutUs: 1e6, Payload: payload}), 3)),
		session([]byte{0x80, 0x80, 0x80, 0x02}),                               // A message of the largest size that does not follow.
		session([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}), // A length without end.
		append(encoded(&Hello{}), 0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0),         // The other end goes away.
		append(encoded(&Hello{}), 0, 1, 0, 1, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff),
		append(encoded(&Hello{}), 0, 0, 0, 1, 0, 0, 0, 2, 0, 0, 0, 0),
		append(encoded(&Hello{}), 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9),
		{0xff, 0xff, 0xff, 0xff, 0x7f}, {0}, {}, []byte("GET / HTTP/1.1\r\n\r\n"),
	}
}

// allocated returns the bytes that the process has allocated since its start.
func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// FuzzServedConnection guards against bytes of another instance that panic this one, keep a
// connection from ending or make it allocate by the lengths that they announce, and checks
// that other links continue.
func FuzzServedConnection(f *testing.F) {
	for _, data := range fuzzSessions() {
		f.Add(data)
	}
	server, client := New("b-1", "d1", log.NewNopLogger()), New("a-1", "d1", log.NewNopLogger())
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _, _ = client.Close(), server.Close() })
	link.Handle(server.RoleLinks(), "Test.Echo", echo)
	f.Fuzz(func(t *testing.T, data []byte) {
		before := allocated()
		local, remote := net.Pipe()
		served := make(chan struct{})
		go func() {
			defer close(served)
			server.serveConn(remote)
		}()
		_ = local.SetDeadline(time.Now().Add(fuzzInputTime))
		go func() { _, _ = io.Copy(io.Discard, local) }()
		_, _ = local.Write(data)
		_ = local.Close()
		select {
		case <-served:
		case <-time.After(fuzzInputTime):
			t.Fatalf("the connection was served for %v after its end", fuzzInputTime)
		}
		if used := allocated() - before; used > fuzzInputMemory+uint64(64*len(data)) {
			t.Errorf("%d bytes made the process allocate %d", len(data), used)
		}
		checkEcho(t, client, address)
	})
}

// checkEcho fails the test if a call between two instances fails.
func checkEcho(t *testing.T, from *Links, address ident.Address) {
	t.Helper()
	resp := &Hello{}
	if _, err := from.CallAddress(context.Background(), address, "Test.Echo", &Hello{Instance: "x"}, resp); err != nil || resp.GetInstance() != "x" {
		t.Errorf("a call on another link got %v, %v", resp, err)
	}
}

// FuzzReply guards against replies of another instance that panic the calling one, keep the
// call from ending, or yield an error that can't be printed or answered to a caller.
func FuzzReply(f *testing.F) {
	payload, _ := proto.Marshal(&Hello{Instance: "x"})
	for _, r := range []*Reply{
		{Payload: payload}, {Payload: []byte{0xff}}, {Failure: &Failure{}},
		{Failure: &Failure{Kind: math.MaxInt32, Ran: math.MinInt32, Message: "%s%n", RetryAfterUs: math.MaxInt64}},
		{Failure: &Failure{Kind: -1, Ran: 99, RetryAfterUs: math.MinInt64}},
	} {
		f.Add(encoded(r))
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{0x80, 0x80, 0x80, 0x02})
	f.Fuzz(func(t *testing.T, data []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), fuzzInputTime)
		defer cancel()
		session, end := newAnsweringSession(t, data)
		defer end()
		d := &dialedSession{session: session, idleSession: session}
		started := time.Now()
		reply, err := callOnStream(ctx, d, session, "Test.Echo", &Hello{})
		if err == nil {
			err = decodeReply(reply, &Hello{})
		}
		if time.Since(started) >= fuzzInputTime {
			t.Errorf("the call took %v: %v", time.Since(started), err)
		}
		checkError(t, err)
	})
}

// newAnsweringSession returns a session whose other end answers a call with data and closes
// the stream.
func newAnsweringSession(t *testing.T, data []byte) (*yamux.Session, func()) {
	t.Helper()
	local, remote := net.Pipe()
	client, err := yamux.Client(local, yamuxConfig())
	if err != nil {
		t.Fatal(err)
	}
	server, err := yamux.Server(remote, yamuxConfig())
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		stream, err := server.AcceptStream()
		if err != nil {
			return
		}
		_ = readMessage(newStreamReader(stream), &CallHeader{})
		_, _ = stream.Write(data)
		_ = stream.Close()
	}()
	return client, func() { _, _ = client.Close(), server.Close() }
}

// checkError fails the test if an error of another instance has no defined kind or Ran, or a
// time of a retry that has passed long ago.
func checkError(t *testing.T, err error) {
	t.Helper()
	if err == nil {
		return
	}
	e := fault.From(err)
	if e.Error() == "" || e.Kind < 0 || int(e.Kind) >= len(fault.Kinds()) || e.Ran < fault.NotRun || e.Ran > fault.DidRun {
		t.Errorf("error %v has kind %d, ran %d", e, e.Kind, e.Ran)
	}
	if !e.RetryAfter.IsZero() && e.RetryAfter.Before(time.Now().Add(-fuzzInputTime)) {
		t.Errorf("error %v allows a retry at %v", e, e.RetryAfter)
	}
}
