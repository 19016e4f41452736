package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// concurrentOperators is the number of operators that edit at the same time.
const concurrentOperators = 3

// Limits of the organisations that concurrent edits add; no caller uses them.
const (
	addedRate  = 10
	addedBurst = 100
)

// leavingPeriod is a time during which an endpoint must not get new work.
type leavingPeriod struct {
	endpoint   string
	begin, end time.Time
}

// keyWithdrawal returns the fault in which a key is withdrawn while callers use it.
func keyWithdrawal() faultSpec {
	return faultSpec{
		name:      "key-withdrawn",
		kind:      textTarget,
		editsText: true,
		begin: func(ctx context.Context, r *run, _ target) (err error) {
			r.keyProbe, err = r.newKeyProbe(ctx, r.cfg.Workload.Organisations[0].Name)
			return err
		},
		finish: func(ctx context.Context, r *run, _ target) error {
			if r.keyProbe == nil {
				return nil
			}
			defer func() { r.keyProbe = nil }()
			return r.keyProbe.withdraw(ctx)
		},
	}
}

// concurrentEdits returns the fault in which several operators edit the text at the
// same time. Every edit that is accepted must stay in the text.
func concurrentEdits() faultSpec {
	return faultSpec{
		name:      "operators-race",
		kind:      textTarget,
		editsText: true,
		begin: func(ctx context.Context, r *run, _ target) error {
			race := r.sequence.Add(1)
			var work sync.WaitGroup
			failures := make([]error, concurrentOperators)
			for n := range concurrentOperators {
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

// addOrganisation adds an organisation that no caller uses to the text.
func (r *run) addOrganisation(ctx context.Context, name ident.OrganisationID) error {
	_, err := r.edit(ctx, string(name), func(t *text.Text) {
		t.Organisations = append(t.Organisations, text.Organisation{Name: name, Rate: addedRate, Burst: addedBurst})
	})
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addedOrganisations = append(r.addedOrganisations, name)
	return nil
}

// versionChange returns the fault in which an edit changes the version of the model,
// so that every engine receives an order.
func versionChange() faultSpec {
	return faultSpec{
		name:      "version-changes",
		kind:      textTarget,
		editsText: true,
		begin: func(ctx context.Context, r *run, _ target) error {
			version := fmt.Sprintf("version-%d", r.sequence.Add(1))
			_, err := r.edit(ctx, version, func(t *text.Text) { t.Models[0].Version = version })
			return err
		},
		finish: func(context.Context, *run, target) error { return nil },
	}
}

// endpointLeaving returns the fault in which an edit marks an endpoint as leaving.
func endpointLeaving(name string, s targetKind) faultSpec {
	return faultSpec{
		name:      name,
		kind:      s,
		editsText: true,
		begin: func(ctx context.Context, r *run, t target) error {
			accepted, err := r.setEndpointState(ctx, t.name, text.Leaving)
			if err != nil {
				return err
			}
			r.mu.Lock()
			r.leavingPeriods = append(r.leavingPeriods, &leavingPeriod{endpoint: t.name, begin: accepted.acceptedAt.Add(inForceBound)})
			r.mu.Unlock()
			return sleep(ctx, time.Until(accepted.acceptedAt.Add(inForceBound)))
		},
		finish: func(ctx context.Context, r *run, t target) error {
			// The endpoint may get work again as soon as the next edit is sent.
			r.mu.Lock()
			for _, p := range r.leavingPeriods {
				if p.endpoint == t.name && p.end.IsZero() {
					p.end = time.Now()
				}
			}
			r.mu.Unlock()
			_, err := r.setEndpointState(ctx, t.name, text.Serving)
			return err
		},
	}
}

// setEndpointState edits the state of an endpoint or engine.
func (r *run) setEndpointState(ctx context.Context, endpoint string, state text.EndpointState) (acceptedEdit, error) {
	name := fmt.Sprintf("%s-%s-%d", endpoint, state, r.sequence.Add(1))
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
