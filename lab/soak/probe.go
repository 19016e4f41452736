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

// Traffic with a key that is going to be withdrawn.
const (
	probeTokens   = 800 // Of the streamed answer; it lasts longer than any fault.
	probeInterval = 200 * time.Millisecond
	probeTail     = 2 * time.Second // Of probing beyond the bound.
	probeTimeout  = 20 * time.Second
)

// probe uses one key at every instance, on open connections and in streams,
// until some time after its withdrawal.
type probe struct {
	run    *run
	name   string
	secret string
	stop   context.CancelFunc
	work   sync.WaitGroup
	client *http.Client

	ending    atomic.Bool  // The withdrawal is under way or accepted.
	withdrawn atomic.Int64 // Unix nanoseconds of the acceptance; 0 before it.
	served    atomic.Int64 // Answers and streams that began well before it.
	ended     atomic.Int64 // Streams that ended without [DONE] from then on.
}

// newProbe gives an organisation a further key and uses it.
func (r *run) newProbe(ctx context.Context, organisation ident.OrganisationID) (*probe, error) {
	p := &probe{run: r, name: fmt.Sprintf("probe-%d", r.turn.Add(1)), client: &http.Client{Timeout: probeTimeout}}
	p.client.Transport = &http.Transport{MaxIdleConnsPerHost: 2}
	var entry text.Key
	p.secret, entry = keys.Generate(ident.KeyID(p.name), organisation)
	r.addSecret(p.secret, organisation)
	_, err := r.edit(ctx, p.name+"-given", func(t *text.Text) { t.Keys = append(t.Keys, entry) })
	if err != nil {
		return nil, err
	}
	ctx, p.stop = context.WithCancel(ctx)
	for _, i := range r.fleet.Instances {
		p.work.Go(func() { p.lookUp(ctx, i) })
		p.work.Go(func() { p.stream(ctx, i) })
	}
	return p, nil
}

// withdraw withdraws the key, goes on until the bound is well past, and ends.
func (p *probe) withdraw(ctx context.Context) error {
	defer p.client.CloseIdleConnections()
	defer p.work.Wait()
	defer p.stop()
	p.ending.Store(true)
	accepted, err := p.run.edit(ctx, p.name+"-withdrawn", func(t *text.Text) {
		for i := range t.Keys {
			if t.Keys[i].Name == ident.KeyID(p.name) {
				t.Keys[i].Withdrawn = true
			}
		}
	})
	if err != nil {
		return err
	}
	p.withdrawn.Store(accepted.at.UnixNano())
	_ = wait(ctx, time.Until(accepted.at.Add(inForceBound+probeTail)))
	p.run.note("key %s withdrawn: %d answers before, %d streams ended by it", p.name, p.served.Load(), p.ended.Load())
	return nil
}

// judge looks at something that came with the key's help for a request that
// began at begin, or a token that came at begin.
func (p *probe) judge(i *fleet.Instance, begin time.Time, what string) {
	withdrawn := p.withdrawn.Load()
	if withdrawn == 0 || begin.Before(time.Unix(0, withdrawn).Add(inForceBound)) {
		p.served.Add(1)
		return
	}
	if p.run.disturbed(i, begin.Add(-inForceBound), time.Now()) != nil {
		return
	}
	p.run.findings.add(WithdrawnKeysStop, "%s at %s %.1fs after %s was withdrawn",
		what, i.Name, begin.Sub(time.Unix(0, withdrawn)).Seconds(), p.name)
}

// lookUp makes short calls on an open connection until ctx ends.
func (p *probe) lookUp(ctx context.Context, i *fleet.Instance) {
	for wait(ctx, probeInterval) == nil {
		begin := time.Now()
		response, err := p.call(ctx, i, http.MethodGet, "/addresses/"+p.name, "")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			p.judge(i, begin, "an answer")
		}
	}
}

// stream reads long answers, one after the other, until ctx ends.
func (p *probe) stream(ctx context.Context, i *fleet.Instance) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"%s %s","max_tokens":%d,"stream":true}`,
		p.run.cfg.Workload.Model, p.name, i.Name, probeTokens)
	for wait(ctx, probeInterval) == nil {
		response, err := p.call(ctx, i, http.MethodPost, "/v1/completions", body)
		if err != nil {
			continue
		}
		p.readTokens(response.Body, i)
		_ = response.Body.Close()
	}
}

// readTokens reads a streamed answer and judges each of its tokens.
func (p *probe) readTokens(body io.Reader, i *fleet.Instance) {
	lines := bufio.NewScanner(body)
	began, done := false, false
	for lines.Scan() {
		line := lines.Text()
		if line == "data: [DONE]" {
			done = true
		}
		if strings.Contains(line, `"choices"`) {
			began = true
			p.judge(i, time.Now(), "a token")
		}
	}
	if began && !done && p.ending.Load() {
		p.ended.Add(1)
	}
}

// call makes a call with the key.
func (p *probe) call(ctx context.Context, i *fleet.Instance, method, path, body string) (*http.Response, error) {
	url := "http://" + string(i.Settings.CallerAddress) + path
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+p.secret)
	request.Header.Set("Content-Type", "application/json")
	return p.client.Do(request)
}

// addSecret keeps a key that no endpoint may ever see.
func (r *run) addSecret(secret string, organisation ident.OrganisationID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.secrets[secret] = organisation
}

// allSecrets returns all keys that callers have used.
func (r *run) allSecrets() map[string]ident.OrganisationID {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]ident.OrganisationID)
	for organisation, secret := range r.fleet.Keys {
		all[secret] = organisation
	}
	for secret, organisation := range r.secrets {
		all[secret] = organisation
	}
	return all
}
