package poller

import (
	"io"
	"os"
	"sync"
	"testing"

	"github.com/lesismal/nbio/nbhttp"
)

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against a wait that ends with a byte which was sent before it began: the poller may
// have fetched that byte's event together with a stale one that it has still to handle.
func TestWaitEndsWithLaterByte(t *testing.T) {
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := &probe{peer: write}
	next := func() <-chan struct{} {
		t.Helper()
		c, err := p.nextRead()
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	first, second, third := next(), next(), next()
	p.onRead()
	if !isClosed(first) || isClosed(second) || isClosed(third) {
		t.Errorf("after the first byte: %v, %v, %v; want only the first wait to end", isClosed(first), isClosed(second), isClosed(third))
	}
	fourth := next()
	p.onRead()
	if !isClosed(second) || !isClosed(third) || isClosed(fourth) {
		t.Errorf("after the second byte: %v, %v, %v; want the second and third wait to end", isClosed(second), isClosed(third), isClosed(fourth))
	}
	p.onRead()
	if !isClosed(fourth) {
		t.Error("the fourth wait does not end with the third byte")
	}
	_ = write.Close()
	if sent, err := io.ReadAll(read); len(sent) != 3 || err != nil {
		t.Errorf("%d bytes were sent, %v; want 3", len(sent), err)
	}
}

// Guards against concurrent waits that miss the end of theirs.
func TestConcurrentWaitsEnd(t *testing.T) {
	const waiters, rounds = 20, 100
	engine := nbhttp.NewEngine(nbhttp.Config{NPoller: 2, ServerExecutor: func(f func()) { go f() }, ClientExecutor: func(f func()) { go f() }})
	if err := Start(engine); err != nil {
		t.Fatal(err)
	}
	b, err := NewBarrier(engine)
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for i := range waiters {
		wg.Go(func() {
			for range rounds {
				if err := b.Await(t.Context(), i); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	engine.Stop()
	b.Close()
}
