package forward

import (
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"monsoonfork/core/membudget"
)

// heldAnswersLimit is the memory that buffered answers may use in these tests.
const heldAnswersLimit = 4 << 20

// heapBytes returns the size of all reachable objects.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC() // Empties the pools.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestBufferedAnswersAreBoundedInSum has engines begin many answers that they do not end. Answers
// that are only limited one by one would use up the memory of the machine.
func TestBufferedAnswersAreBoundedInSum(t *testing.T) {
	const requests = 200
	h := newHarness(t)
	h.router.Memory = membudget.New(heldAnswersLimit)
	var begun sync.WaitGroup
	begun.Add(requests)
	end := make(chan struct{})
	h.send = func(_ int, _ Call, sink Sink) error {
		if err := sink.OnHead(Head{Status: http.StatusOK, Header: http.Header{}, Length: -1}); err != nil {
			return err
		}
		for range 12 {
			if err := sink.OnData([]byte(strings.Repeat("x", 16<<10))); err != nil {
				return err
			}
		}
		begun.Done()
		<-end
		return nil
	}
	before := heapBytes()
	var served sync.WaitGroup
	for range requests {
		served.Go(func() {
			got := &reply{discard: true}
			h.serveTo(t.Context(), got, "once", func(q *Request) { q.Received = time.Now().Add(time.Minute) })
			if got.err != nil || got.aborted || got.size != 12*16<<10 {
				t.Errorf("got %d bytes, aborted %v, %v; want a whole answer", got.size, got.aborted, got.err)
			}
		})
	}
	begun.Wait()
	if grown := heapBytes() - before; grown > 3*heldAnswersLimit {
		t.Errorf("%d answers that have begun hold %d bytes", requests, grown)
	}
	close(end)
	served.Wait()
	if n := h.router.Memory.Held(); n != 0 {
		t.Errorf("%d bytes are still counted", n)
	}
}

// TestServerErrorIsReplacedWhileMemoryIsScarce guards against a request that gets the server error
// of one engine although another one would answer, as its answer could not be buffered.
func TestServerErrorIsReplacedWhileMemoryIsScarce(t *testing.T) {
	h := newHarness(t)
	h.router.Memory = membudget.New(heldAnswersLimit)
	h.router.Memory.Open(time.Now()).Add(heldAnswersLimit)
	h.send = func(n int, _ Call, sink Sink) error {
		if n == 1 {
			return sendAnswer(sink, http.StatusInternalServerError, "no")
		}
		return sendAnswer(sink, http.StatusOK, "answer")
	}
	if got := h.serve("safe"); got.err != nil || got.status != http.StatusOK || got.body.String() != "answer" || h.callCount() != 2 {
		t.Errorf("status %d, %q, %v after %d calls; want that of the second engine", got.status, got.body.String(), got.err, h.callCount())
	}
}

// TestServerErrorOfAllEnginesReachesCaller guards against a server error that is not forwarded
// while memory is scarce.
func TestServerErrorOfAllEnginesReachesCaller(t *testing.T) {
	for _, name := range []string{"safe", "once"} {
		h := newHarness(t)
		h.router.Memory = membudget.New(heldAnswersLimit)
		h.router.Memory.Open(time.Now()).Add(heldAnswersLimit)
		h.send = func(_ int, _ Call, sink Sink) error {
			return sendAnswer(sink, http.StatusInternalServerError, "no")
		}
		got := h.serve(name)
		if got.err != nil || got.status != http.StatusInternalServerError || got.body.String() != "no" {
			t.Errorf("%s: status %d, %q, %v; want the engine's error", name, got.status, got.body.String(), got.err)
		}
	}
}
