package caller

import (
	"net/http"
	"net/url"
	"strings"

	"monsoonfork/core/fault"
)

// maxTokenBytes is the maximum length of a caller's API key.
const maxTokenBytes = 512

// credential is the API key of a request, if any, and removes it from what is forwarded.
type credential struct {
	token string
}

// credentialHeaders are never forwarded.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key"}

// credentialParams are the names, in lower case, of query parameters and cookies that
// are never forwarded.
var credentialParams = map[string]bool{"api_key": true, "apikey": true, "key": true, "access_token": true, "token": true}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect", "Proxy-Authenticate",
}

// parseCredential reads the API key from the Authorization header. Without the header
// it returns an empty credential.
func parseCredential(r *http.Request) (credential, error) {
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
		return credential{}, fault.New(fault.Unauthenticated, "the API key is longer than %d bytes", maxTokenBytes)
	}
	return credential{token: token}, nil
}

// foundIn reports whether s contains the API key.
func (c credential) foundIn(s string) bool { return c.token != "" && strings.Contains(s, c.token) }

// forwardHeaders returns the headers of r to forward to an endpoint: without hop-by-hop
// headers, credentials and headers that contain the API key.
func (c credential) forwardHeaders(r *http.Request) http.Header {
	h := r.Header.Clone()
	for _, value := range r.Header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	for _, name := range credentialHeaders {
		h.Del(name)
	}
	c.stripCookies(r, h)
	for name, values := range h {
		if c.foundIn(name) || c.foundInAny(values) {
			delete(h, name)
		}
	}
	return h
}

// foundInAny reports whether one of values contains the API key, as is or URL-encoded.
func (c credential) foundInAny(values []string) bool {
	for _, v := range values {
		if c.foundIn(v) {
			return true
		}
		if unescaped, err := url.QueryUnescape(v); err == nil && c.foundIn(unescaped) {
			return true
		}
	}
	return false
}

// stripCookies sets the cookies of h to those of r that carry no credential.
func (c credential) stripCookies(r *http.Request, h http.Header) {
	h.Del("Cookie")
	var kept []string
	for _, cookie := range r.Cookies() {
		if credentialParams[strings.ToLower(cookie.Name)] || c.foundInAny([]string{cookie.Name, cookie.Value}) {
			continue
		}
		kept = append(kept, cookie.Name+"="+cookie.Value)
	}
	if len(kept) > 0 {
		h.Set("Cookie", strings.Join(kept, "; "))
	}
}

// forwardTarget returns the path and query to forward, without query parameters that
// carry a credential. An API key in the path cannot be removed; the request is rejected.
func (c credential) forwardTarget(u *url.URL) (string, error) {
	if c.foundIn(u.Path) || c.foundIn(u.EscapedPath()) {
		return "", fault.New(fault.BadRequest, "the API key is allowed in the Authorization header only")
	}
	var kept []string
	for _, pair := range strings.Split(u.RawQuery, "&") {
		name, _, _ := strings.Cut(pair, "=")
		unescapedName, err := url.QueryUnescape(name)
		if pair == "" || err != nil || credentialParams[strings.ToLower(unescapedName)] || c.foundInAny([]string{pair}) {
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

// checkBody rejects a body that contains the API key, which can't be removed without
// changing the caller's data.
func (c credential) checkBody(body []byte) error {
	if c.foundIn(string(body)) {
		return fault.New(fault.BadRequest, "the API key is allowed in the Authorization header only")
	}
	return nil
}
