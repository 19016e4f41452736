package fleet

import (
	"context"
	"encoding/json"
	"fmt"

	"monsoonfork/core/ident"
	"monsoonfork/io/standin/control"
	"monsoonfork/lab/process"
)

// StandIn is a simulator of an engine, a service endpoint, the store or the
// instance list.
type StandIn struct {
	Name    string
	Domain  ident.DomainID
	Address string
	Control *control.Client
	Process *process.Process // Nil if it runs in this process.

	server     inProcessServer // Nil if it runs in a process of its own.
	args       []string        // Command-line arguments of its process.
	startCount int             // Number of processes started so far.
}

// inProcessServer is a stand-in that runs in this process.
type inProcessServer interface {
	Start() error
	Close() error
	Address() string
	ControlAddress() string
}

// startInProcess starts a stand-in in this process.
func startInProcess(name string, domain ident.DomainID, s inProcessServer) (*StandIn, error) {
	if err := s.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	return &StandIn{
		Name:    name,
		Domain:  domain,
		Address: s.Address(),
		Control: control.NewClient(s.ControlAddress()),
		server:  s,
	}, nil
}

// startProcess starts a stand-in as a process of its own. The args are those of
// monsoonlab, the verb first; startProcess appends the addresses.
func (f *Fleet) startProcess(ctx context.Context, name string, domain ident.DomainID, args []string) (*StandIn, error) {
	addresses := make([]string, 2)
	for i := range addresses {
		address, err := process.FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	s := &StandIn{
		Name:    name,
		Domain:  domain,
		Address: addresses[0],
		Control: control.NewClient(addresses[1]),
		args:    append(args, "--address", addresses[0], "--control", addresses[1]),
	}
	return s, f.launchStandIn(ctx, s)
}

// launchStandIn starts the process of a stand-in and waits until it prints its
// addresses, which means that it accepts connections.
func (f *Fleet) launchStandIn(ctx context.Context, s *StandIn) error {
	path, err := f.Runner.Build(ctx, "monsoonlab")
	if err != nil {
		return err
	}
	s.startCount++
	name := fmt.Sprintf("%s-%d", s.Name, s.startCount)
	s.Process, err = f.Runner.Start(process.Spec{Name: name, Path: path, Args: s.args})
	if err != nil {
		return err
	}
	line, err := s.Process.FirstLine(ctx)
	if err != nil {
		return err
	}
	var ready struct{ Address string }
	if err := json.Unmarshal([]byte(line), &ready); err != nil {
		return fmt.Errorf("decode the first line of output of %s, %q: %w", s.Name, line, err)
	}
	return nil
}

// RestartStandIn kills the process of a stand-in and starts a new one, with empty
// state, at the same addresses. It fails for a stand-in that runs in this process.
func (f *Fleet) RestartStandIn(ctx context.Context, s *StandIn) error {
	if s.Process == nil {
		return fmt.Errorf("restart %s: it runs in the calling process", s.Name)
	}
	if err := s.Process.Kill(); err != nil {
		return err
	}
	return f.launchStandIn(ctx, s)
}

// close ends a stand-in that runs in this process and ignores any other.
func (s *StandIn) close() error {
	if s.server == nil {
		return nil
	}
	return s.server.Close()
}
