package fleet

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// StatusDirectly sends a status call to the plain service without an instance in between, and
// returns how long it took.
func (f *Fleet) StatusDirectly(ctx context.Context, client *http.Client) (time.Duration, error) {
	start := time.Now()
	url := "http://" + f.Services[0].Address + "/status"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return time.Since(start), errors.Join(err, response.Body.Close())
}
