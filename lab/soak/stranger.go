package soak

import (
	"context"
	"net/http"
	"time"

	"monsoonfork/core/keys"
	"monsoonfork/lab/fleet"
)

// strangerInterval is the time between two calls of a stranger at an instance.
const strangerInterval = 500 * time.Millisecond

// sendStrangers calls the route of one organisation with keys of others, with a
// key that nobody was given, and with none, until ctx ends.
func (r *run) sendStrangers(ctx context.Context) {
	unknown, _ := keys.Generate("nobody", "nobody")
	other := r.fleet.Keys[r.cfg.Workload.Organisations[1].Name]
	tokens := []string{other, unknown, ""}
	client := &http.Client{Timeout: probeTimeout}
	defer client.CloseIdleConnections()
	for n := 0; wait(ctx, strangerInterval) == nil; n++ {
		for _, i := range r.fleet.Instances {
			r.sendStranger(ctx, client, i, tokens[n%len(tokens)])
		}
	}
}

// sendStranger makes one call that must be refused.
func (r *run) sendStranger(ctx context.Context, client *http.Client, i *fleet.Instance, token string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + string(i.Settings.CallerAddress) + fleet.OwnPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	r.strangers.Add(1)
	if response.StatusCode < http.StatusBadRequest {
		r.findings.add(RunsForOwnOrganisation, "%s answered a stranger with %d", i.Name, response.StatusCode)
	}
}

// checkStrangers looks for calls of strangers that ran.
func (r *run) checkStrangers(runs map[string][]string) {
	if ran := runs[http.MethodGet+" "+fleet.OwnReference]; len(ran) > 0 {
		r.findings.add(RunsForOwnOrganisation, "%d calls of strangers ran: %v", len(ran), ran)
	}
}
