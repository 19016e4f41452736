package http1

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"

	"github.com/cockroachdb/errors"
)

// Transport makes calls by another transport, and fails for responses with a malformed head that the
// parser of net/http accepts. A folded line is joined with the one before it by that parser.
type Transport struct {
	base http.RoundTripper
}

// NewTransport returns a Transport that makes its calls by base.
func NewTransport(base http.RoundTripper) *Transport { return &Transport{base: base} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return headError(CheckNames(h)) },
	})
	res, err := t.base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := headError(checkParsed(res)); err != nil {
		_ = res.Body.Close() // Closes the connection too, unless the body is empty.
		return nil, err
	}
	return res, nil
}

// headError returns the error for a head with a problem, nil without one.
func headError(p Problem) error {
	if p == NoProblem {
		return nil
	}
	return errors.Newf("malformed head of the response: %s", p)
}

// checkParsed checks the head of a response that net/http has read.
func checkParsed(res *http.Response) Problem {
	if res.ProtoMajor != 1 {
		return UnknownVersion
	}
	for i := range len(res.Status) {
		if !IsText(res.Status[i]) {
			return ControlCharacter
		}
	}
	return CheckNames(res.Header)
}

// CheckNames checks the names of fields that net/http has read.
func CheckNames(h map[string][]string) Problem {
	for name := range h {
		switch {
		case IsName(name):
		case strings.ContainsAny(name, " \t"):
			return BlankInName
		default:
			return InvalidName
		}
	}
	return NoProblem
}
