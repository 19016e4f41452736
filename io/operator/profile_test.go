package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log"
)

func TestProfile(t *testing.T) {
	s := &server{log: log.NewNopLogger()}
	get := func(query string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		s.profile(w, httptest.NewRequest(http.MethodGet, "/profile"+query, nil))
		return w
	}
	for _, query := range []string{"", "?seconds=0", "?seconds=61", "?seconds=ten"} {
		if w := get(query); w.Code != http.StatusBadRequest || !strings.Contains(w.Body.String(), "seconds") {
			t.Errorf("%q: %d %s", query, w.Code, w.Body)
		}
	}
	// Profiles are compressed with gzip, whose first two bytes are 1f 8b.
	if w := get("?seconds=1"); w.Code != http.StatusOK || !strings.HasPrefix(w.Body.String(), "\x1f\x8b") {
		t.Errorf("profile: %d, %d bytes", w.Code, w.Body.Len())
	}
}
