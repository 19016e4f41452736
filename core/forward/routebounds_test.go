package forward

import (
	"runtime"
	"testing"
)

// TestAllowedEnginesTakeNoMemory guards against requests that fail, or use up the memory of the
// process, since their route allows very many engines.
func TestAllowedEnginesTakeNoMemory(t *testing.T) {
	const maxBytes = 1 << 20
	for _, attempts := range []int{1_000_000, 1 << 40} {
		h := newHarness(t)
		h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, "A") }
		route, _ := h.router.Catalog().Route("h", "/safe/")
		route.MaxEngines = attempts
		before := allocatedBytes()
		got := &reply{}
		h.serveTo(t.Context(), got, "safe", func(*Request) {})
		if used := allocatedBytes() - before; used > maxBytes {
			t.Errorf("attempts %d: a request allocates %d bytes", attempts, used)
		}
		if got.body.String() != "A" {
			t.Errorf("attempts %d: the answer is %q, want A", attempts, got.body.String())
		}
	}
}

// allocatedBytes returns how many bytes the process has allocated since its start.
func allocatedBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}
