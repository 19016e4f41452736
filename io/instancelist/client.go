// Package instancelist reads the platform's list of instances. The list lags:
// it is a hint where instances may be found, never a proof that one has ended.
package instancelist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Limits of a call.
const (
	callTimeout  = 2 * time.Second
	maxListBytes = 1 << 20
)

// State is the platform's word on an instance.
type State int

//go:generate stringer -type=State -output=state_string.go

// The states.
const (
	Live State = iota
	Leaving
)

// UnmarshalText decodes a state.
func (s *State) UnmarshalText(raw []byte) error {
	switch string(raw) {
	case "live":
		*s = Live
	case "leaving":
		*s = Leaving
	default:
		return fmt.Errorf("state %q is neither live nor leaving", raw)
	}
	return nil
}

// Instance is one line of the list.
type Instance struct {
	Name        string
	Domain      ident.DomainID
	PeerAddress ident.Address
	State       State
}

// line is one line in the form of the published catalogue.
type line struct {
	ServiceID      string
	ServiceAddress string
	ServicePort    int
	ServiceMeta    struct {
		Domain ident.DomainID `json:"domain"`
		State  State          `json:"state"`
	}
}

// Client reads the list at one address.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client of the list at address.
func New(address ident.Address) *Client {
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{
		url:  fmt.Sprintf("http://%s/v1/catalog/service/monsoonfork", address),
		http: &http.Client{Timeout: callTimeout, Transport: transport},
	}
}

// Instances reads the list. Lines that do not make sense are left out and
// counted in the error, which may come with instances.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "instance list")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fault.Wrap(err, fault.StoreUnavailable, "instance list")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New(fault.StoreUnavailable, "instance list: status %d", resp.StatusCode)
	}
	var lines []json.RawMessage
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&lines); err != nil {
		return nil, fault.Wrap(err, fault.StoreUnavailable, "instance list: malformed answer")
	}
	return parse(lines)
}

// parse checks the lines of a list.
func parse(lines []json.RawMessage) ([]Instance, error) {
	var instances []Instance
	bad := 0
	for _, raw := range lines {
		var l line
		if err := json.Unmarshal(raw, &l); err != nil || !l.valid() {
			bad++
			continue
		}
		instances = append(instances, Instance{
			Name:        l.ServiceID,
			Domain:      l.ServiceMeta.Domain,
			PeerAddress: ident.Address(net.JoinHostPort(l.ServiceAddress, strconv.Itoa(l.ServicePort))),
			State:       l.ServiceMeta.State,
		})
	}
	if bad > 0 {
		return instances, fault.New(fault.StoreUnavailable, "instance list: %d malformed lines", bad)
	}
	return instances, nil
}

// valid reports whether a line names an instance that can be reached.
func (l line) valid() bool {
	const maxPort = 1<<16 - 1
	_, err := netip.ParseAddr(l.ServiceAddress)
	return err == nil && l.ServiceID != "" && l.ServicePort > 0 && l.ServicePort <= maxPort
}
