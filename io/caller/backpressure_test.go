package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"monsoonfork/core/membudget"
)

const (
	muteCallers = 20
	// endlessPiece is the size of the pieces of answers without end.
	endlessPiece = 64 << 10
	// testMemoryMB is the memory of an instance.
	testMemoryMB = 134
	// maxHeldByCaller is the most that may be held for one caller: its unsent bytes, with
	// headers and framing, and the piece that is being written.
	maxHeldByCaller = 64<<10 + endlessPiece + 4<<10
)

// smallBuffer is the size of socket buffers that hold little of an answer.
const smallBuffer = 16 << 10

// muteCaller sends a request and returns its connection, from which nothing is read and whose
// receive buffer is small.
func muteCaller(t *testing.T, address, target string) *net.TCPConn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBuffer) })
	}}
	c, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", target); err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// writeEndlessly answers with pieces until a write fails.
func writeEndlessly(f *ForwardedRequest, pause time.Duration) {
	f.WriteHeader(http.StatusOK, http.Header{}, -1)
	piece := bytes.Repeat([]byte("x"), endlessPiece)
	for f.Write(piece) == nil && f.Context().Err() == nil {
		time.Sleep(pause)
	}
	f.Abort()
}

// peaks are the largest values seen during a test.
type peaks struct {
	held, heap uint64
}

// watchPeaks watches the bytes held and the heap for a time.
func watchPeaks(memory *membudget.Budget, d time.Duration) peaks {
	var p peaks
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		p.held, p.heap = max(p.held, uint64(memory.Held())), max(p.heap, m.HeapAlloc)
	}
	return p
}

// TestMuteCallersHoldLittle has callers that read nothing request answers without end. What
// is held for them must stay small: it grew by 32 MB a connection.
func TestMuteCallersHoldLittle(t *testing.T) {
	for name, pause := range map[string]time.Duration{"no pause": 0, "pauses of 2 ms": 2 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			memory := membudget.New(membudget.LimitFor(testMemoryMB))
			_, address := newForwardingTestServer(t, func(f *ForwardedRequest) { writeEndlessly(f, pause) }, WithMemory(memory))
			for range muteCallers {
				muteCaller(t, address, "/")
			}
			p := watchPeaks(memory, 2*time.Second)
			t.Logf("peaks: %.1f MB held, %.1f MB heap", float64(p.held)/1e6, float64(p.heap)/1e6)
			if p.held > muteCallers*maxHeldByCaller {
				t.Errorf("%d bytes held for %d callers, want %d at most", p.held, muteCallers, muteCallers*maxHeldByCaller)
			}
			if p.heap > testMemoryMB*1e6 {
				t.Errorf("the heap has grown to %d bytes", p.heap)
			}
		})
	}
}

// slowReader reads at a rate.
type slowReader struct {
	io.Reader
	bytesPerSecond int
}

// Read implements io.Reader.
func (r slowReader) Read(buf []byte) (int, error) {
	const interval = 20 * time.Millisecond
	time.Sleep(interval)
	return r.Reader.Read(buf[:min(len(buf), r.bytesPerSecond/int(time.Second/interval))])
}

// readAnswer reads the answer to a request from r, and returns the length of its body.
func readAnswer(r io.Reader) (int64, error) {
	res, err := http.ReadResponse(bufio.NewReader(r), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	return io.Copy(io.Discard, res.Body)
}

// answerBytes is the length of an answer that is larger than what is held for a caller and
// the socket buffers.
const answerBytes = 300 << 10

// answerInPieces answers with answerBytes in small pieces over a connection with a small send
// buffer.
func answerInPieces(f *ForwardedRequest, length int64) error {
	_ = f.x.conn.nbc.SetWriteBuffer(smallBuffer)
	f.WriteHeader(http.StatusOK, http.Header{}, length)
	for range answerBytes / 1024 {
		if err := f.Write(make([]byte, 1024)); err != nil {
			return err
		}
	}
	return nil
}

// TestWriteWaitsForSlowCaller has callers read an answer slowly, or with a pause of 2 s, beside
// ones that read nothing. The handler, which reads the engine, must wait for them, and they must
// get the whole answer.
func TestWriteWaitsForSlowCaller(t *testing.T) {
	for name, pause := range map[string]time.Duration{"slow": 0, "suspended": 2 * time.Second} {
		for framing, length := range map[string]int64{"length": answerBytes, "chunked": -1} {
			t.Run(name+" "+framing, func(t *testing.T) {
				t.Parallel()
				written := make(chan time.Time, 1)
				_, address := newForwardingTestServer(t, func(f *ForwardedRequest) {
					if f.Request.URL.Path == "/mute" {
						writeEndlessly(f, 0)
						return
					}
					if err := answerInPieces(f, length); err != nil {
						t.Errorf("write: %v", err)
					}
					written <- time.Now()
				})
				for range muteCallers {
					muteCaller(t, address, "/mute")
				}
				started := time.Now()
				c := muteCaller(t, address, "/")
				reader := slowReader{c, 1 << 20}
				if pause == 0 {
					reader.bytesPerSecond = 60 << 10
				}
				time.Sleep(pause)
				if n, err := readAnswer(reader); n != answerBytes || err != nil {
					t.Errorf("%d bytes of the answer, %v", n, err)
				}
				if took := (<-written).Sub(started); took < time.Second {
					t.Errorf("the answer was written after %v, without waiting for its caller", took)
				}
			})
		}
	}
}

// TestSlowCallerIsNotCut has a caller with a small receive window read an answer for longer than
// unresponsiveTime. The kernel's user timeout cut such callers: it also ends a connection whose
// window never takes a whole segment.
func TestSlowCallerIsNotCut(t *testing.T) {
	if testing.Short() {
		t.Skip("reads for longer than unresponsiveTime")
	}
	for framing, length := range map[string]int64{"length": answerBytes, "chunked": -1} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			_, address := newForwardingTestServer(t, func(f *ForwardedRequest) {
				if err := answerInPieces(f, length); err != nil {
					t.Errorf("write: %v", err)
				}
			})
			c := muteCaller(t, address, "/")
			if n, err := readAnswer(slowReader{c, 20 << 10}); n != answerBytes || err != nil {
				t.Errorf("%d bytes of the answer, %v", n, err)
			}
		})
	}
}
