package soak

import (
	"context"
	"net/http"
	"time"

	"monsoonfork/core/keys"
	"monsoonfork/lab/fleet"
)

// unauthorisedInterval is the time between two unauthorised calls to an instance.
const unauthorisedInterval = 500 * time.Millisecond

// sendUnauthorisedCalls calls a route that belongs to one organisation with the key of
// another one, with an unknown key and without a key, until ctx ends.
func (r *run) sendUnauthorisedCalls(ctx context.Context) {
	unknown, _ := keys.Generate("nobody", "nobody")
	other := r.fleet.Keys[r.cfg.Workload.Organisations[1].Name]
	tokens := []string{other, unknown, ""}
	client := &http.Client{Timeout: probeTimeout}
	defer client.CloseIdleConnections()
	for n := 0; sleep(ctx, unauthorisedInterval) == nil; n++ {
		for _, i := range r.fleet.Instances {
			r.sendUnauthorisedCall(ctx, client, i, tokens[n%len(tokens)])
		}
	}
}

// sendUnauthorisedCall makes one call that must be refused.
func (r *run) sendUnauthorisedCall(ctx context.Context, client *http.Client, i *fleet.Instance, token string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + string(i.Settings.CallerAddress) + fleet.RestrictedPath
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
	r.unauthorisedCalls.Add(1)
	if response.StatusCode < http.StatusBadRequest {
		r.findings.add(RunsForOwnOrganisation, "%s answered an unauthorised call with status %d", i.Name, response.StatusCode)
	}
}

// checkUnauthorisedRuns reports unauthorised calls that ran.
func (r *run) checkUnauthorisedRuns(runs map[string][]string) {
	if executions := runs[http.MethodGet+" "+fleet.RestrictedReference]; len(executions) > 0 {
		r.findings.add(RunsForOwnOrganisation, "%d unauthorised calls ran: %v", len(executions), executions)
	}
}
