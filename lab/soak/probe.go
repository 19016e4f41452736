package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/keys"
	"monsoonfork/core/text"
	"monsoonfork/lab/fleet"
)

// Traffic with a key that is to be withdrawn.
const (
	probeOutputTokens = 800 // Length of a streamed answer; it lasts longer than any fault.
	probeInterval     = 200 * time.Millisecond
	probeAfterBound   = 2 * time.Second // Time that probing continues beyond inForceBound.
	probeTimeout      = 20 * time.Second
)

// keyProbe calls every instance with one key, on kept connections and in streams,
// until probeAfterBound past the bound of its withdrawal.
type keyProbe struct {
	run     *run
	keyName string
	secret  string
	cancel  context.CancelFunc
	workers sync.WaitGroup
	client  *http.Client

	withdrawing   atomic.Bool  // Whether the withdrawal has been sent.
	withdrawn     atomic.Int64 // When the withdrawal was accepted, in Unix nanoseconds; 0 before.
	answersBefore atomic.Int64 // Answers and tokens that were still allowed.
	endedStreams  atomic.Int64 // Streams that ended without [DONE] since the withdrawal was sent.
}

// newKeyProbe adds a key for an organisation to the text and starts to use it.
func (r *run) newKeyProbe(ctx context.Context, organisation ident.OrganisationID) (*keyProbe, error) {
	p := &keyProbe{run: r, keyName: fmt.Sprintf("probe-%d", r.sequence.Add(1)), client: &http.Client{Timeout: probeTimeout}}
	p.client.Transport = &http.Transport{MaxIdleConnsPerHost: 2}
	var entry text.Key
	p.secret, entry = keys.Generate(ident.KeyID(p.keyName), organisation)
	r.addKey(p.secret, organisation)
	_, err := r.edit(ctx, p.keyName+"-added", func(t *text.Text) { t.Keys = append(t.Keys, entry) })
	if err != nil {
		return nil, err
	}
	ctx, p.cancel = context.WithCancel(ctx)
	for _, i := range r.fleet.Instances {
		p.workers.Go(func() { p.sendLookups(ctx, i) })
		p.workers.Go(func() { p.sendStreams(ctx, i) })
	}
	return p, nil
}

// withdraw withdraws the key, continues until probeAfterBound past inForceBound, and
// stops the probe.
func (p *keyProbe) withdraw(ctx context.Context) error {
	defer p.client.CloseIdleConnections()
	defer p.workers.Wait()
	defer p.cancel()
	p.withdrawing.Store(true)
	accepted, err := p.run.edit(ctx, p.keyName+"-withdrawn", func(t *text.Text) {
		for i := range t.Keys {
			if t.Keys[i].Name == ident.KeyID(p.keyName) {
				t.Keys[i].Withdrawn = true
			}
		}
	})
	if err != nil {
		return err
	}
	p.withdrawn.Store(accepted.acceptedAt.UnixNano())
	_ = sleep(ctx, time.Until(accepted.acceptedAt.Add(inForceBound+probeAfterBound)))
	p.run.logf("key %s withdrawn: %d answers and tokens allowed, %d streams ended", p.keyName, p.answersBefore.Load(), p.endedStreams.Load())
	return nil
}

// checkUse reports an answer to a request that began at begin, or a token received at
// begin, if that is later than inForceBound after the key was withdrawn.
func (p *keyProbe) checkUse(i *fleet.Instance, begin time.Time, what string) {
	withdrawn := p.withdrawn.Load()
	if withdrawn == 0 || begin.Before(time.Unix(0, withdrawn).Add(inForceBound)) {
		p.answersBefore.Add(1)
		return
	}
	if p.run.outageDuring(i, begin.Add(-inForceBound), time.Now()) != nil {
		return
	}
	p.run.findings.add(WithdrawnKeysStop, "%s at %s %.1fs after %s was withdrawn",
		what, i.Name, begin.Sub(time.Unix(0, withdrawn)).Seconds(), p.keyName)
}

// sendLookups makes short calls on a kept connection until ctx ends.
func (p *keyProbe) sendLookups(ctx context.Context, i *fleet.Instance) {
	for sleep(ctx, probeInterval) == nil {
		begin := time.Now()
		response, err := p.call(ctx, i, http.MethodGet, "/addresses/"+p.keyName, "")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			p.checkUse(i, begin, "an answer")
		}
	}
}

// sendStreams reads long streamed answers, one after the other, until ctx ends.
func (p *keyProbe) sendStreams(ctx context.Context, i *fleet.Instance) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"%s %s","max_tokens":%d,"stream":true}`,
		p.run.cfg.Workload.Model, p.keyName, i.Name, probeOutputTokens)
	for sleep(ctx, probeInterval) == nil {
		response, err := p.call(ctx, i, http.MethodPost, "/v1/completions", body)
		if err != nil {
			continue
		}
		p.checkStream(response.Body, i)
		_ = response.Body.Close()
	}
}

// checkStream reads a streamed answer and passes each of its tokens to checkUse.
func (p *keyProbe) checkStream(body io.Reader, i *fleet.Instance) {
	lines := bufio.NewScanner(body)
	began, done := false, false
	for lines.Scan() {
		line := lines.Text()
		if line == "data: [DONE]" {
			done = true
		}
		if strings.Contains(line, `"choices"`) {
			began = true
			p.checkUse(i, time.Now(), "a token")
		}
	}
	if began && !done && p.withdrawing.Load() {
		p.endedStreams.Add(1)
	}
}

// call sends a request with the key.
func (p *keyProbe) call(ctx context.Context, i *fleet.Instance, method, path, body string) (*http.Response, error) {
	url := "http://" + string(i.Settings.CallerAddress) + path
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+p.secret)
	request.Header.Set("Content-Type", "application/json")
	return p.client.Do(request)
}

// addKey adds a key to those that no endpoint may receive.
func (r *run) addKey(secret string, organisation ident.OrganisationID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extraKeys[secret] = organisation
}

// allKeys returns all keys that callers have used, with their organisations.
func (r *run) allKeys() map[string]ident.OrganisationID {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]ident.OrganisationID)
	for organisation, secret := range r.fleet.Keys {
		all[secret] = organisation
	}
	for secret, organisation := range r.extraKeys {
		all[secret] = organisation
	}
	return all
}
