package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Host is the host of all routes.
const Host = "plan.example"

// Request is a request of a client.
type Request struct {
	ID, Method, Path, Key string
	Deadline              time.Duration
}

// Send sends a request to an instance and records it. It returns the status, or 0 without an
// answer.
func (i *Instance) Send(client *http.Client, q Request) int {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+i.Caller+q.Path, http.NoBody)
	if err != nil {
		return 0
	}
	req.Host = Host
	req.Header.Set("X-Request-Id", q.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(q.Deadline.Milliseconds()))
	req.Header.Set("X-Credential", q.Key)
	i.rig.Record.Add("sent", "request", q.ID, "to", i.Name, "key", q.Key)
	res, err := client.Do(req)
	if err != nil {
		i.rig.Record.Add("no answer", "request", q.ID, "err", err)
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	i.rig.Record.Add("answered", "request", q.ID, "status", res.StatusCode, "seal", res.Header.Get("X-Server-Seal"), "bytes", len(body), "err", err)
	return res.StatusCode
}
