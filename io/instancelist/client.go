// Package instancelist reads the platform's list of instances. The list may be out
// of date: it suggests addresses at which instances may be found, but does not prove
// that an instance has ended.
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
	"monsoonfork/io/http1"
)

// Limits of one read of the list.
const (
	callTimeout      = 2 * time.Second
	maxResponseBytes = 1 << 20
)

// State is the state of an instance according to the platform.
type State int

//go:generate stringer -type=State -output=state_string.go

// The states that the platform publishes.
const (
	Live State = iota
	Leaving
)

// UnmarshalText implements encoding.TextUnmarshaler.
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

// Instance is one entry of the list.
type Instance struct {
	Name        string
	Domain      ident.DomainID
	PeerAddress ident.Address
	State       State
}

// catalogueEntry is one entry in the JSON form of the catalogue API.
type catalogueEntry struct {
	ServiceID      string
	ServiceAddress string
	ServicePort    int
	ServiceMeta    struct {
		Domain ident.DomainID `json:"domain"`
		State  State          `json:"state"`
	}
}

// Client reads the instance list of one server.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client for the server at address.
func New(address ident.Address) *Client {
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{
		url:  fmt.Sprintf("http://%s/v1/catalog/service/monsoonfork", address),
		http: &http.Client{Timeout: callTimeout, Transport: http1.NewTransport(transport)},
	}
}

// Instances reads the list. It skips malformed entries and then returns the valid
// instances together with an error that gives the number of skipped entries.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "instance list: cannot create the request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fault.Wrap(err, fault.StoreUnavailable, "instance list: request failed")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New(fault.StoreUnavailable, "instance list: server returned status %d", resp.StatusCode)
	}
	var entries []json.RawMessage
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&entries); err != nil {
		return nil, fault.Wrap(err, fault.StoreUnavailable, "instance list: malformed response")
	}
	return parseEntries(entries)
}

// LiveAddresses returns the peer addresses of the live instances in the list, with the error
// of Instances.
func (c *Client) LiveAddresses(ctx context.Context) ([]ident.Address, error) {
	instances, err := c.Instances(ctx)
	var addresses []ident.Address
	for _, i := range instances {
		if i.State == Live {
			addresses = append(addresses, i.PeerAddress)
		}
	}
	return addresses, err
}

// parseEntries decodes the entries of a list and skips malformed ones.
func parseEntries(entries []json.RawMessage) ([]Instance, error) {
	var instances []Instance
	malformed := 0
	for _, raw := range entries {
		var entry catalogueEntry
		if err := json.Unmarshal(raw, &entry); err != nil || !entry.valid() {
			malformed++
			continue
		}
		instances = append(instances, Instance{
			Name:        entry.ServiceID,
			Domain:      entry.ServiceMeta.Domain,
			PeerAddress: ident.Address(net.JoinHostPort(entry.ServiceAddress, strconv.Itoa(entry.ServicePort))),
			State:       entry.ServiceMeta.State,
		})
	}
	if malformed > 0 {
		return instances, fault.New(fault.StoreUnavailable, "instance list: %d malformed entries", malformed)
	}
	return instances, nil
}

// valid reports whether the entry has a name, an IP address and a port.
func (e catalogueEntry) valid() bool {
	const maxPort = 1<<16 - 1
	_, err := netip.ParseAddr(e.ServiceAddress)
	return err == nil && e.ServiceID != "" && e.ServicePort > 0 && e.ServicePort <= maxPort
}
