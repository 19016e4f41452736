package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// serveText starts a server that answers each connection with text and closes it. It returns the URL.
func serveText(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, text)
			}
			_ = c.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestTransport guards against a response of the store or the instance list whose malformed line is
// taken for an unknown field, so that its body ends where no length says.
func TestTransport(t *testing.T) {
	client := http.Client{Transport: NewTransport(&http.Transport{})}
	for text, wantBody := range map[string]string{
		"HTTP/1.1 200 OK\r\nX-Index: 1\r\nContent-Length: 2\r\n\r\nok":                              "ok",
		"HTTP/1.1 200\r\nX-Index:\t\xe9 \r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n": "ok",
		"HTTP/1.1 103 Hints\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":          "ok",
		"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nok":                                           "",
		"HTTP/1.1 200 OK\r\nX-In dex: 1\r\nContent-Length: 2\r\n\r\nok":                             "",
		"HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok":                                        "",
		"HTTP/9.9 200 OK\r\nContent-Length: 2\r\n\r\nok":                                            "",
		"HTTP/1.1 103 Hints\r\nX : 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":         "",
	} {
		body := ""
		res, err := client.Get(serveText(t, text))
		if err == nil {
			raw, _ := io.ReadAll(res.Body)
			body = string(raw)
			_ = res.Body.Close()
		}
		if (err == nil) != (wantBody != "") || body != wantBody {
			t.Errorf("%q: body %q, %v; want body %q", text, body, err, wantBody)
		}
	}
}
