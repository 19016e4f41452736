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

// pollInterval is the interval of the HTTP checks while waiting for an instance.
const pollInterval = 20 * time.Millisecond

// Instance is an instance of monsoonfork. Each start creates a new process.
type Instance struct {
	Name       string
	Settings   settings.Settings
	Process    *process.Process
	StartCount int          // Number of processes started so far.
	StoreRelay *relay.Relay // Relay on the connections from the instance to the store.

	AdmissionLogs []string // Paths of the admission logs, one for each process.

	settingsPath string // Path of the settings file.
}

// newInstance prepares the settings and the store relay of instance i without
// starting it.
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
	s.InstanceListAddress = ident.Address(f.InstanceList.Address)
	s.BalancerDelayMS = f.Spec.BalancerDelay.Milliseconds()
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
	return &Instance{Name: name, StoreRelay: storeRelay, Settings: *s}, nil
}

// StartInstance starts the process of an instance, or a new process after the
// last one has ended. It does not wait until the instance is ready.
func (f *Fleet) StartInstance(ctx context.Context, i *Instance) error {
	program, err := f.Runner.Build(ctx, "monsoonfork")
	if err != nil {
		return err
	}
	i.StartCount++
	if f.Spec.AdmissionLog {
		// A killed process may leave an incomplete last line, so each process has a log of its own.
		log := filepath.Join(f.Runner.Dir(), fmt.Sprintf("%s-%d.admissions", i.Name, i.StartCount))
		i.Settings.AdmissionLog = log
		i.AdmissionLogs = append(i.AdmissionLogs, log)
	}
	raw, err := yaml.Marshal(i.Settings)
	if err != nil {
		return err
	}
	if i.settingsPath, err = f.Runner.WriteFile(i.Name+".yaml", raw); err != nil {
		return err
	}
	i.Process, err = f.Runner.Start(process.Spec{
		Name: fmt.Sprintf("%s-%d", i.Name, i.StartCount),
		Path: program,
		Args: []string{"serve", "--settings", i.settingsPath},
		Env:  f.Spec.Env,
	})
	return err
}

// listAddress returns the peer host and port of the instance for its entry in
// the instance list.
func (i *Instance) listAddress() (host string, port int) {
	host, text, _ := net.SplitHostPort(string(i.Settings.PeerAddress))
	port, _ = strconv.Atoi(text)
	return host, port
}

// getOperator makes a GET request to the operator address and returns the status
// and the body.
func (i *Instance) getOperator(ctx context.Context, path string) (status int, body []byte, err error) {
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

// operatorClient is the HTTP client for operator addresses. It opens a new
// connection for each request.
var operatorClient = &http.Client{
	Timeout:   5 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// Ready reports whether the instance answers /readyz with status 200.
func (i *Instance) Ready(ctx context.Context) bool {
	status, _, err := i.getOperator(ctx, "/readyz")
	return err == nil && status == http.StatusOK
}

// WaitReady waits until the instance answers /readyz with status 200. It fails if
// the process ends first.
func (i *Instance) WaitReady(ctx context.Context) error { return i.waitStatusOK(ctx, "/readyz") }

// WaitAlive waits until the instance answers /livez with status 200. It fails if
// the process ends first.
func (i *Instance) WaitAlive(ctx context.Context) error { return i.waitStatusOK(ctx, "/livez") }

// waitStatusOK waits until the operator address answers a GET of path with status
// 200. It returns an error with the log of the process if the process or ctx ends
// first.
func (i *Instance) waitStatusOK(ctx context.Context, path string) error {
	for {
		status, body, err := i.getOperator(ctx, path)
		if err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-i.Process.Ended():
			return fmt.Errorf("process of instance %s ended: %s", i.Name, i.Process.Log())
		case <-ctx.Done():
			return fmt.Errorf("wait for %s of instance %s: %w: last status %d %s: %s", path, i.Name, ctx.Err(), status, body, i.Process.Log())
		case <-time.After(pollInterval):
		}
	}
}

// Dump decodes the dump of the instance's state into target.
func (i *Instance) Dump(ctx context.Context, target any) error {
	return i.getJSON(ctx, "/dump", target)
}

// Metrics decodes the metrics of the instance into target.
func (i *Instance) Metrics(ctx context.Context, target any) error {
	return i.getJSON(ctx, "/metrics", target)
}

// getJSON decodes the JSON document that the operator address serves at path
// into target.
func (i *Instance) getJSON(ctx context.Context, path string, target any) error {
	status, body, err := i.getOperator(ctx, path)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("GET %s of instance %s: status %d: %s", path, i.Name, status, body)
	}
	return json.Unmarshal(body, target)
}
