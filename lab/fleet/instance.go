package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"

	"monsoonfork/core/ident"
	"monsoonfork/core/settings"
	"monsoonfork/lab/process"
	"monsoonfork/lab/relay"
)

// pollInterval is the time between two looks whether an instance is ready.
const pollInterval = 20 * time.Millisecond

// Instance is one instance of monsoonfork. It may be started several times.
type Instance struct {
	Name     string
	Settings settings.Settings
	Process  *process.Process
	Starts   int
	Store    *relay.Relay // Between the instance and the store.

	AdmissionLogs []string // Files of all its processes.

	path string // Of the settings file.
}

// newInstance prepares instance i.
func (f *Fleet) newInstance(i int) (*Instance, error) {
	addresses := make([]ident.Address, 3)
	for n := range addresses {
		address, err := process.FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses[n] = ident.Address(address)
	}
	storeRelay, err := relay.New(f.Store.Address)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("entry-%d", i+1)
	s := settings.Default()
	s.Name = name
	s.Domain = f.Spec.domain(i)
	s.CallerAddress = addresses[0]
	s.PeerAddress = addresses[1]
	s.OperatorAddress = addresses[2]
	s.StoreAddresses = []ident.Address{ident.Address(storeRelay.Address())}
	s.InstanceListAddress = ident.Address(f.List.Address)
	s.BalancerDelayMS = f.Spec.BalancerWait.Milliseconds()
	s.AllowFaults = f.Spec.AllowFaults
	if f.Spec.LogLevel != "" {
		s.LogLevel = f.Spec.LogLevel
	}
	if f.Spec.HeartbeatMS != 0 {
		s.HeartbeatMS = f.Spec.HeartbeatMS
	}
	if f.Spec.OrderLease != 0 {
		s.OrderLeaseMS = f.Spec.OrderLease.Milliseconds()
	}
	return &Instance{Name: name, Store: storeRelay, Settings: *s}, nil
}

// StartInstance starts an instance, or starts it anew after it has ended. It
// does not wait until it is ready.
func (f *Fleet) StartInstance(ctx context.Context, i *Instance) error {
	program, err := f.Runner.Build(ctx, "monsoonfork")
	if err != nil {
		return err
	}
	i.Starts++
	if f.Spec.AdmissionLog {
		// Each process gets a log of its own: a killed one may leave half a line.
		log := filepath.Join(f.Runner.Dir(), fmt.Sprintf("%s-%d.admissions", i.Name, i.Starts))
		i.Settings.AdmissionLog = log
		i.AdmissionLogs = append(i.AdmissionLogs, log)
	}
	raw, err := yaml.Marshal(i.Settings)
	if err != nil {
		return err
	}
	if i.path, err = f.Runner.WriteFile(i.Name+".yaml", raw); err != nil {
		return err
	}
	i.Process, err = f.Runner.Start(process.Spec{
		Name: fmt.Sprintf("%s-%d", i.Name, i.Starts),
		Path: program,
		Args: []string{"serve", "--settings", i.path},
		Env:  f.Spec.Env,
	})
	return err
}

// listLine returns the line of the instance in the instance list.
func (i *Instance) listLine() (host string, port int) {
	host, text, _ := net.SplitHostPort(string(i.Settings.PeerAddress))
	port, _ = strconv.Atoi(text)
	return host, port
}

// get makes a GET on the operator address and returns status and body.
func (i *Instance) get(ctx context.Context, path string) (status int, body []byte, err error) {
	url := "http://" + string(i.Settings.OperatorAddress) + path
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	response, err := operatorClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// operatorClient speaks to operator addresses.
var operatorClient = &http.Client{
	Timeout:   5 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// Ready reports whether the instance says that it is ready.
func (i *Instance) Ready(ctx context.Context) bool {
	status, _, err := i.get(ctx, "/readyz")
	return err == nil && status == http.StatusOK
}

// WaitReady waits until the instance is ready.
func (i *Instance) WaitReady(ctx context.Context) error { return i.waitOK(ctx, "/readyz") }

// WaitAlive waits until the instance serves operators.
func (i *Instance) WaitAlive(ctx context.Context) error { return i.waitOK(ctx, "/livez") }

// waitOK waits until a GET of path on the operator address is answered with 200.
func (i *Instance) waitOK(ctx context.Context, path string) error {
	for {
		status, body, err := i.get(ctx, path)
		if err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-i.Process.Ended():
			return fmt.Errorf("%s ended: %s", i.Name, i.Process.Log())
		case <-ctx.Done():
			return fmt.Errorf("%s at %s: %w: status %d %s: %s", path, i.Name, ctx.Err(), status, body, i.Process.Log())
		case <-time.After(pollInterval):
		}
	}
}

// Dump decodes the instance's dump into target.
func (i *Instance) Dump(ctx context.Context, target any) error {
	return i.decode(ctx, "/dump", target)
}

// Metrics decodes the instance's metrics into target.
func (i *Instance) Metrics(ctx context.Context, target any) error {
	return i.decode(ctx, "/metrics", target)
}

// decode decodes what the operator address serves at path into target.
func (i *Instance) decode(ctx context.Context, path string, target any) error {
	status, body, err := i.get(ctx, path)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%s of %s: status %d: %s", path, i.Name, status, body)
	}
	return json.Unmarshal(body, target)
}
