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

// engineProcess is one stand-in engine in its own process.
type engineProcess struct {
	Address        ident.Address `json:"Address"`
	ControlAddress string        `json:"ControlAddress"`

	name    ident.EndpointID
	role    text.EngineRole
	command *exec.Cmd
	killed  bool
}

// startEngines starts the engines of a workload. lag is the age that their
// load reports reach.
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

// startEngine starts one engine by the program's own engine verb.
func startEngine(ctx context.Context, name ident.EndpointID, role text.EngineRole, lag time.Duration) (*engineProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	slots := decodeSlots
	if role == text.Prefill {
		slots = prefillSlots
	}
	command := exec.CommandContext(ctx, self, "engine",
		"--name", string(name), "--role", strings.ToLower(role.String()),
		"--slots", strconv.Itoa(slots), "--pieces", strconv.Itoa(memoryPieces),
		"--tokens-per-piece", strconv.Itoa(tokensPerPiece),
		"--prefill-rate", strconv.Itoa(prefillRate),
		"--inter-token", interToken.String(), "--batch-slowdown", fmt.Sprint(batchSlowdown),
		"--link-bytes", strconv.Itoa(linkBytes), "--bytes-per-token", strconv.Itoa(bytesPerToken),
		"--load-lag", lag.String())
	command.Stderr = os.Stderr
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &engineProcess{name: name, role: role, command: command}
	line, err := bufio.NewReader(out).ReadBytes('\n')
	if err != nil {
		return nil, fmt.Errorf("engine %s did not start: %w", name, err)
	}
	return p, json.Unmarshal(line, p)
}

// kill ends the process at once.
func (p *engineProcess) kill() {
	if p.killed {
		return
	}
	p.killed = true
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// fault makes the engine show a fault.
func (p *engineProcess) fault(f control.Fault) error {
	return p.tell("/control/fault", f)
}

// clear ends all faults.
func (p *engineProcess) clear() error { return p.tell("/control/clear", struct{}{}) }

// tell posts a command to the control address.
func (p *engineProcess) tell(path string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+p.ControlAddress+path, "application/json", strings.NewReader(string(raw)))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s: %s", path, resp.Status)
	}
	return nil
}

// record returns what the engine has counted; nothing for a killed one.
func (p *engineProcess) record() (engine.Record, error) {
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

// stopEngines ends all engines.
func stopEngines(engines map[ident.EndpointID]*engineProcess) {
	for _, p := range engines {
		p.kill()
	}
}

// addressesOf returns the addresses of engines.
func addressesOf(engines map[ident.EndpointID]*engineProcess) map[ident.EndpointID]ident.Address {
	addresses := make(map[ident.EndpointID]ident.Address)
	for name, p := range engines {
		addresses[name] = p.Address
	}
	return addresses
}
