package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/io/operator"
	"monsoonfork/lab/fleet"
)

// faultsTimeout bounds one POST /faults to an instance.
const faultsTimeout = 5 * time.Second

// instancesIn returns the instances in a domain.
func (r *run) instancesIn(domain ident.DomainID) []*fleet.Instance {
	var all []*fleet.Instance
	for _, i := range r.fleet.Instances {
		if i.Settings.Domain == domain {
			all = append(all, i)
		}
	}
	return all
}

// otherDomains returns all domains except one.
func (r *run) otherDomains(domain ident.DomainID) []ident.DomainID {
	var all []ident.DomainID
	for _, d := range r.cfg.Workload.Domains {
		if d != domain {
			all = append(all, d)
		}
	}
	return all
}

// isolateDomain cuts the instances of a domain off from the store and from the
// instances of all other domains.
func isolateDomain(ctx context.Context, r *run, t target) error {
	domain := ident.DomainID(t.name)
	var failures []error
	for _, i := range r.instancesIn(domain) {
		r.beginOutage(i, causeCutOff)
		i.StoreRelay.Cut()
		failures = append(failures, setCutDomains(ctx, i, r.otherDomains(domain)))
	}
	return errors.Join(failures...)
}

// reconnectDomain ends the fault that isolateDomain began.
func reconnectDomain(ctx context.Context, r *run, t target) error {
	var failures []error
	for _, i := range r.instancesIn(ident.DomainID(t.name)) {
		i.StoreRelay.Heal()
		failures = append(failures, setCutDomains(ctx, i, nil))
		r.endOutage(i)
	}
	return errors.Join(failures...)
}

// setCutDomains sets the domains that an instance drops its connections to.
func setCutDomains(ctx context.Context, i *fleet.Instance, domains []ident.DomainID) error {
	ctx, cancel := context.WithTimeout(ctx, faultsTimeout)
	defer cancel()
	body, err := json.Marshal(operator.LinkFaults{CutDomains: domains})
	if err != nil {
		return err
	}
	url := "http://" + string(i.Settings.OperatorAddress) + "/faults"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("POST /faults to %s: status %d", i.Name, response.StatusCode)
	}
	return nil
}
