package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
	"monsoonfork/io/standin/control"
	"monsoonfork/io/standin/engine"
)

// engineProcess is a simulated engine in its own process. The exported fields come
// from the JSON line that the process prints when it has started.
type engineProcess struct {
	Address        ident.Address `json:"Address"`
	ControlAddress string        `json:"ControlAddress"`

	name    ident.EndpointID
	role    text.EngineRole
	command *exec.Cmd
	killed  bool
}

// startEngines starts the engines of a workload. lag is the maximum age of their
// load reports.
func startEngines(ctx context.Context, w Workload, lag time.Duration) (map[ident.EndpointID]*engineProcess, error) {
	engines := make(map[ident.EndpointID]*engineProcess)
	for _, d := range w.Domains {
		for _, role := range []text.EngineRole{text.Prefill, text.Decode} {
			for _, name := range engineNames(d, role) {
				p, err := startEngine(ctx, name, role, lag)
				if err != nil {
					stopEngines(engines)
					return nil, err
				}
				engines[name] = p
			}
		}
	}
	return engines, nil
}

// startEngine starts one engine with the engine command of the running executable,
// which must therefore be monsoonlab.
func startEngine(ctx context.Context, name ident.EndpointID, role text.EngineRole, lag time.Duration) (*engineProcess, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	slots := decodeSlots
	if role == text.Prefill {
		slots = prefillSlots
	}
	command := exec.CommandContext(ctx, executable, "engine",
		"--name", string(name), "--role", strings.ToLower(role.String()),
		"--slots", strconv.Itoa(slots), "--pieces", strconv.Itoa(memoryPieces),
		"--tokens-per-piece", strconv.Itoa(tokensPerPiece),
		"--prefill-rate", strconv.Itoa(prefillRate),
		"--inter-token", singleTokenInterval.String(), "--batch-slowdown", fmt.Sprint(batchSlowdown),
		"--link-bytes", strconv.Itoa(linkBandwidth), "--bytes-per-token", strconv.Itoa(kvBytesPerToken),
		"--load-lag", lag.String())
	command.Stderr = os.Stderr
	stdout, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &engineProcess{name: name, role: role, command: command}
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	if err != nil {
		return nil, fmt.Errorf("engine %s did not start: %w", name, err)
	}
	return p, json.Unmarshal(line, p)
}

// kill kills the process, unless it was killed before.
func (p *engineProcess) kill() {
	if p.killed {
		return
	}
	p.killed = true
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// injectFault starts a fault in the engine.
func (p *engineProcess) injectFault(f control.Fault) error {
	return p.postControl("/control/fault", f)
}

// clearFaults ends all faults of the engine.
func (p *engineProcess) clearFaults() error { return p.postControl("/control/clear", struct{}{}) }

// postControl sends body as JSON to a path of the control address.
func (p *engineProcess) postControl(path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+p.ControlAddress+path, "application/json", strings.NewReader(string(encoded)))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s: %s", path, resp.Status)
	}
	return nil
}

// fetchRecord returns the engine's counters; they are zero for a killed engine.
func (p *engineProcess) fetchRecord() (engine.Record, error) {
	var r engine.Record
	if p.killed {
		return r, nil
	}
	resp, err := http.Get("http://" + p.ControlAddress + "/control/record")
	if err != nil {
		return r, err
	}
	defer func() { _ = resp.Body.Close() }()
	return r, json.NewDecoder(resp.Body).Decode(&r)
}

// stopEngines kills all engines.
func stopEngines(engines map[ident.EndpointID]*engineProcess) {
	for _, p := range engines {
		p.kill()
	}
}

// engineAddresses returns the address of each engine, by engine name.
func engineAddresses(engines map[ident.EndpointID]*engineProcess) map[ident.EndpointID]ident.Address {
	addresses := make(map[ident.EndpointID]ident.Address)
	for name, p := range engines {
		addresses[name] = p.Address
	}
	return addresses
}
