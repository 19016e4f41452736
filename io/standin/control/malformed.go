package control

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
)

// MalformedHeader is a header of each response with a malformed head. No such response may reach a
// caller.
const MalformedHeader = "X-Malformed"

// malformedLines are lines that HTTP does not allow in a head.
var malformedLines = []string{
	"X-Not e: 1", "X-Note : 1", "Content-Length : 1", "X-Request-Id : 1", "X-Note: a\x01b", "X-Note: a\x00b", "X-No\x7fte: 1",
	": 1", "X-Note", "X-Note: 1\r\n folded: 1", "X-Note: 1\rX-Other: 2", "Content-Length: +1", "Transfer-Encoding: chunked",
}

// WriteMalformed writes a response to the client of w whose head has a malformed line, which n selects,
// and closes the connection.
func WriteMalformed(w http.ResponseWriter, res *http.Response, n int) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %03d %s\r\n%s: 1\r\n", res.StatusCode, http.StatusText(res.StatusCode), MalformedHeader)
	res.Header.Set("Content-Length", strconv.Itoa(len(body)))
	if err := res.Header.Write(&b); err != nil {
		return err
	}
	fmt.Fprintf(&b, "%s\r\n\r\n", malformedLines[n%len(malformedLines)])
	b.Write(body)
	_, err = b.WriteTo(conn)
	return err
}

// malformResponse processes the request and sends the response with a malformed head.
func (s *Server) malformResponse(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	if WriteMalformed(w, recorder.Result(), int(s.malformed.Add(1))) != nil {
		panic(http.ErrAbortHandler)
	}
}
