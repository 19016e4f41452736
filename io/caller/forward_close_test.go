package caller

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// TestCloseWaitsForForwardedRequests closes a server during a response. The handler, which
// records the outcome of its request, must have returned before Close returns.
func TestCloseWaitsForForwardedRequests(t *testing.T) {
	var ended atomic.Bool
	begun := make(chan struct{})
	s := NewForwardingServer(func(f *ForwardedRequest) {
		f.WriteHeader(http.StatusOK, http.Header{}, -1)
		_ = f.Write([]byte("x"))
		close(begun)
		<-f.Context().Done()
		time.Sleep(20 * time.Millisecond)
		ended.Store(true)
	}, log.NewNopLogger())
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		resp, err := http.Get("http://" + string(address) + "/")
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-begun
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if !ended.Load() {
		t.Error("Close returned before the handler of a request")
	}
}
