package caller

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/event"
	"monsoonfork/core/membudget"
)

// lineCounter counts the log lines of an event.
type lineCounter struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (c *lineCounter) Write(line []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lines.Write(line)
}

// count returns the number of lines of an event.
func (c *lineCounter) count(e event.Event) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Count(c.lines.String(), e.String())
}

// newMemoryTestServer starts a server with a limit of the bytes held, which answers /mute
// without end and other paths in pieces.
func newMemoryTestServer(t *testing.T, memory *membudget.Budget, logger log.Logger, opts ...Option) string {
	t.Helper()
	s := NewForwardingServer(func(f *ForwardedRequest) {
		if f.Request.URL.Path == "/mute" {
			_ = f.x.conn.nbc.SetWriteBuffer(smallBuffer)
			writeEndlessly(f, 0)
			return
		}
		if err := answerInPieces(f, answerBytes); err != nil {
			t.Errorf("write to a caller that reads: %v", err)
		}
	}, logger, append(opts, WithMemory(memory))...)
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return string(address)
}

// testMemoryLimit is a limit that a few callers reach.
const testMemoryLimit membudget.Bytes = 2 << 20

// TestMemoryLimitEndsMuteCallers has more callers that read nothing than the memory for them
// allows, beside ones that read slowly. Only the first may be ended, requests are refused as
// not run meanwhile, and afterwards there is memory again.
func TestMemoryLimitEndsMuteCallers(t *testing.T) {
	t.Parallel()
	memory, registry, lines := membudget.New(testMemoryLimit), metrics.NewRegistry(), &lineCounter{}
	address := newMemoryTestServer(t, memory, log.NewLogfmtLogger(lines), WithMetrics(registry))
	var slow sync.WaitGroup
	for range 5 {
		c := muteCaller(t, address, "/slow")
		slow.Go(func() {
			if n, err := readAnswer(slowReader{c, 40 << 10}); n != answerBytes || err != nil {
				t.Errorf("slow caller: %d bytes of its answer, %v", n, err)
			}
		})
	}
	opened := 0
	for ; memory.Held() < memory.Limit() && opened < 1000; opened++ {
		muteCaller(t, address, "/mute")
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("%d callers that read nothing hold %d bytes", opened, memory.Held())
	checkRefusal(t, address)
	p := watchPeaks(memory, time.Second)
	if limit := uint64(testMemoryLimit + 4*maxHeldByCaller); p.held > limit {
		t.Errorf("%d bytes held, want %d at most", p.held, limit)
	}
	eventually(t, "memory is free again", 10*time.Second, func() bool { return !memory.IsScarce() })
	slow.Wait()
	ended := int(metrics.GetOrRegisterCounter("Caller.EndedUnread", registry).Count())
	if n := lines.count(event.CallerEnded); n == 0 || n != ended {
		t.Errorf("%d log lines of %d ended callers", n, ended)
	}
}

// checkRefusal sends a request for which there is no memory. It must be refused as not run.
func checkRefusal(t *testing.T, address string) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(muteCaller(t, address, "/")), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(RanHeader) != "not run" || res.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, headers %v: want a refusal", res.StatusCode, res.Header)
	}
}

// TestHundredsOfMuteCallersFitInMemory guards against a sum that grows with the number of
// callers beyond the memory of an instance.
func TestHundredsOfMuteCallersFitInMemory(t *testing.T) {
	const callers = 400
	memory := membudget.New(membudget.LimitFor(testMemoryMB))
	address := newMemoryTestServer(t, memory, log.NewNopLogger())
	for range callers {
		muteCaller(t, address, "/mute")
	}
	p := watchPeaks(memory, 3*time.Second)
	t.Logf("peaks: %.1f MB held, %.1f MB heap", float64(p.held)/1e6, float64(p.heap)/1e6)
	if limit := uint64(memory.Limit()) + 4*maxHeldByCaller; p.held > limit {
		t.Errorf("%d bytes held, want %d at most", p.held, limit)
	}
	if p.heap > testMemoryMB*1e6 {
		t.Errorf("the heap has grown to %d bytes", p.heap)
	}
}
