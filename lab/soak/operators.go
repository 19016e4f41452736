package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// racers is the number of operators that edit at the same time.
const racers = 3

// Limits of an organisation that nobody uses.
const (
	addedRate  = 10
	addedBurst = 100
)

// period is a time during which an endpoint was to get no new work.
type period struct {
	endpoint   string
	begin, end time.Time
}

// keyWithdrawn returns the row of a key that is withdrawn under traffic.
func keyWithdrawn() faultEntry {
	return faultEntry{
		name:  "key-withdrawn",
		sort:  onText,
		edits: true,
		begin: func(ctx context.Context, r *run, _ target) (err error) {
			r.probe, err = r.newProbe(ctx, r.cfg.Workload.Organisations[0].Name)
			return err
		},
		finish: func(ctx context.Context, r *run, _ target) error {
			if r.probe == nil {
				return nil
			}
			defer func() { r.probe = nil }()
			return r.probe.withdraw(ctx)
		},
	}
}

// operatorsRace returns the row of operators that edit at the same time. Every
// edit that is accepted must stay in the text.
func operatorsRace() faultEntry {
	return faultEntry{
		name:  "operators-race",
		sort:  onText,
		edits: true,
		begin: func(ctx context.Context, r *run, _ target) error {
			race := r.turn.Add(1)
			var work sync.WaitGroup
			failures := make([]error, racers)
			for n := range racers {
				work.Go(func() {
					name := fmt.Sprintf("race-%d-%d", race, n)
					failures[n] = r.addOrganisation(ctx, ident.OrganisationID(name))
				})
			}
			work.Wait()
			for _, err := range failures {
				if err != nil {
					return err
				}
			}
			return nil
		},
		finish: func(context.Context, *run, target) error { return nil },
	}
}

// addOrganisation adds an organisation that nobody uses to the text.
func (r *run) addOrganisation(ctx context.Context, name ident.OrganisationID) error {
	_, err := r.edit(ctx, string(name), func(t *text.Text) {
		t.Organisations = append(t.Organisations, text.Organisation{Name: name, Rate: addedRate, Burst: addedBurst})
	})
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.added = append(r.added, name)
	return nil
}

// versionChanges returns the row of a text that wants another version of the
// model, so that every engine gets an order.
func versionChanges() faultEntry {
	return faultEntry{
		name:  "version-changes",
		sort:  onText,
		edits: true,
		begin: func(ctx context.Context, r *run, _ target) error {
			version := fmt.Sprintf("version-%d", r.turn.Add(1))
			_, err := r.edit(ctx, version, func(t *text.Text) { t.Models[0].Version = version })
			return err
		},
		finish: func(context.Context, *run, target) error { return nil },
	}
}

// endpointLeaves returns the row of an endpoint that the text marks as leaving.
func endpointLeaves(name string, s sort) faultEntry {
	return faultEntry{
		name:  name,
		sort:  s,
		edits: true,
		begin: func(ctx context.Context, r *run, t target) error {
			accepted, err := r.setState(ctx, t.name, text.Leaving)
			if err != nil {
				return err
			}
			r.mu.Lock()
			r.left = append(r.left, &period{endpoint: t.name, begin: accepted.at.Add(inForceBound)})
			r.mu.Unlock()
			return wait(ctx, time.Until(accepted.at.Add(inForceBound)))
		},
		finish: func(ctx context.Context, r *run, t target) error {
			// The endpoint may get work again from the moment of the next edit.
			r.mu.Lock()
			for _, p := range r.left {
				if p.endpoint == t.name && p.end.IsZero() {
					p.end = time.Now()
				}
			}
			r.mu.Unlock()
			_, err := r.setState(ctx, t.name, text.Serving)
			return err
		},
	}
}

// setState edits the state of an endpoint or engine.
func (r *run) setState(ctx context.Context, endpoint string, state text.EndpointState) (acceptance, error) {
	name := fmt.Sprintf("%s-%s-%d", endpoint, state, r.turn.Add(1))
	return r.edit(ctx, name, func(t *text.Text) {
		for i := range t.Engines {
			if string(t.Engines[i].Name) == endpoint {
				t.Engines[i].State = state
			}
		}
		for s := range t.Services {
			endpoints := t.Services[s].Endpoints
			for i := range endpoints {
				if string(endpoints[i].Name) == endpoint {
					endpoints[i].State = state
				}
			}
		}
	})
}
