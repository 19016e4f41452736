package caller

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
)

// TestLargeChunksAreNotMixed has concurrent answers of unknown length that are written in
// large pieces. Bytes of one answer must not appear in another.
func TestLargeChunksAreNotMixed(t *testing.T) {
	const (
		callers    = 16
		requests   = 20
		pieceBytes = 100 << 10
		pieces     = 3
	)
	_, address := newForwardingTestServer(t, func(f *ForwardedRequest) {
		fill := []byte(f.Request.Header.Get("Fill"))
		f.WriteHeader(http.StatusOK, http.Header{}, -1)
		for range pieces {
			if f.Write(bytes.Repeat(fill, pieceBytes)) != nil {
				return
			}
		}
	})
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			fill := strconv.FormatInt(int64(caller), callers)
			for range requests {
				req, _ := http.NewRequest(http.MethodPost, "http://"+address+"/", http.NoBody)
				req.Header.Set("Fill", fill)
				res, err := client.Do(req)
				if err != nil {
					t.Errorf("caller %s: %v", fill, err)
					return
				}
				body, err := io.ReadAll(res.Body)
				_ = res.Body.Close()
				if err != nil || len(body) != pieces*pieceBytes || bytes.Count(body, []byte(fill)) != len(body) {
					t.Errorf("caller %s: %d bytes, %d of them its own, %v; want %d", fill, len(body), bytes.Count(body, []byte(fill)), err, pieces*pieceBytes)
					return
				}
			}
		})
	}
	wg.Wait()
}
