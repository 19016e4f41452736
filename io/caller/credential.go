package caller

import (
	"net/http"
	"net/url"
	"strings"

	"monsoonfork/core/fault"
)

// maxTokenBytes bounds a caller's key.
const maxTokenBytes = 512

// credential is the key of a caller and what the request was with it.
type credential struct {
	token string
}

// keyHeaders never reach an endpoint.
var keyHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key"}

// keyNames are names of query parameters and cookies that never reach an
// endpoint.
var keyNames = map[string]bool{"api_key": true, "apikey": true, "key": true, "access_token": true, "token": true}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect", "Proxy-Authenticate",
}

// takeCredential takes the key from the Authorization header.
func takeCredential(r *http.Request) (credential, error) {
	values := r.Header["Authorization"]
	if len(values) == 0 {
		return credential{}, nil
	}
	if len(values) > 1 {
		return credential{}, fault.New(fault.BadRequest, "more than one Authorization header")
	}
	scheme, token, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	token = strings.TrimSpace(token)
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return credential{}, fault.New(fault.Unauthenticated, "Authorization must be: Bearer KEY")
	}
	if len(token) > maxTokenBytes {
		return credential{}, fault.New(fault.Unauthenticated, "the key is longer than %d bytes", maxTokenBytes)
	}
	return credential{token: token}, nil
}

// in reports whether the key stands in s.
func (c credential) in(s string) bool { return c.token != "" && strings.Contains(s, c.token) }

// forward returns the headers of r that an endpoint may see: without the key in
// any of them, and without those that concern the caller's connection only.
func (c credential) forward(r *http.Request) http.Header {
	h := r.Header.Clone()
	for _, value := range r.Header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	for _, name := range keyHeaders {
		h.Del(name)
	}
	c.stripCookies(r, h)
	for name, values := range h {
		if c.in(name) || c.inAny(values) {
			delete(h, name)
		}
	}
	return h
}

// inAny reports whether the key stands in one of values, plain or escaped.
func (c credential) inAny(values []string) bool {
	for _, v := range values {
		if c.in(v) {
			return true
		}
		if plain, err := url.QueryUnescape(v); err == nil && c.in(plain) {
			return true
		}
	}
	return false
}

// stripCookies sets the cookies of h to those of r that hold no key.
func (c credential) stripCookies(r *http.Request, h http.Header) {
	h.Del("Cookie")
	var kept []string
	for _, cookie := range r.Cookies() {
		if keyNames[strings.ToLower(cookie.Name)] || c.inAny([]string{cookie.Name, cookie.Value}) {
			continue
		}
		kept = append(kept, cookie.Name+"="+cookie.Value)
	}
	if len(kept) > 0 {
		h.Set("Cookie", strings.Join(kept, "; "))
	}
}

// target returns path and query for the endpoint, without the key. A key in the
// path cannot be taken out and is refused.
func (c credential) target(u *url.URL) (string, error) {
	if c.in(u.Path) || c.in(u.EscapedPath()) {
		return "", fault.New(fault.BadRequest, "the key may stand in the Authorization header only")
	}
	var kept []string
	for _, pair := range strings.Split(u.RawQuery, "&") {
		name, _, _ := strings.Cut(pair, "=")
		plain, err := url.QueryUnescape(name)
		if pair == "" || err != nil || keyNames[strings.ToLower(plain)] || c.inAny([]string{pair}) {
			continue
		}
		kept = append(kept, pair)
	}
	target := u.EscapedPath()
	if len(kept) > 0 {
		target += "?" + strings.Join(kept, "&")
	}
	return target, nil
}

// checkBody refuses a body that holds the key: it can't be taken out without
// changing what the caller sent.
func (c credential) checkBody(body []byte) error {
	if c.in(string(body)) {
		return fault.New(fault.BadRequest, "the key may stand in the Authorization header only")
	}
	return nil
}
