package process

import (
	"context"
	"net/http"

	"monsoonfork/core/ident"
)

// IsReady reports whether the instance with an operator address answers its readiness check.
func IsReady(ctx context.Context, operator ident.Address) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(operator)+"/readyz", nil)
	if err != nil {
		return false
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}
