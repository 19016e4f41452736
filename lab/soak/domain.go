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

// commandTimeout bounds one command to an instance.
const commandTimeout = 5 * time.Second

// instancesOf returns the instances of a domain.
func (r *run) instancesOf(domain ident.DomainID) []*fleet.Instance {
	var all []*fleet.Instance
	for _, i := range r.fleet.Instances {
		if i.Settings.Domain == domain {
			all = append(all, i)
		}
	}
	return all
}

// otherDomains returns all domains but one.
func (r *run) otherDomains(domain ident.DomainID) []ident.DomainID {
	var all []ident.DomainID
	for _, d := range r.cfg.Workload.Domains {
		if d != domain {
			all = append(all, d)
		}
	}
	return all
}

// cutDomain cuts the instances of a domain off from the store and from the
// instances of all other domains.
func cutDomain(ctx context.Context, r *run, t target) error {
	domain := ident.DomainID(t.name)
	var failures []error
	for _, i := range r.instancesOf(domain) {
		r.disturb(i, cutOff)
		i.Store.Cut()
		failures = append(failures, setCut(ctx, i, r.otherDomains(domain)))
	}
	return errors.Join(failures...)
}

// healDomain ends cutDomain.
func healDomain(ctx context.Context, r *run, t target) error {
	var failures []error
	for _, i := range r.instancesOf(ident.DomainID(t.name)) {
		i.Store.Heal()
		failures = append(failures, setCut(ctx, i, nil))
		r.undisturb(i)
	}
	return errors.Join(failures...)
}

// setCut commands an instance which domains it is cut off from.
func setCut(ctx context.Context, i *fleet.Instance, domains []ident.DomainID) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	body, err := json.Marshal(operator.Faults{CutDomains: domains})
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
		return fmt.Errorf("faults of %s: status %d", i.Name, response.StatusCode)
	}
	return nil
}
