package fleet

import (
	"context"
	"encoding/json"
	"fmt"

	"monsoonfork/core/ident"
	"monsoonfork/io/standin/control"
	"monsoonfork/lab/process"
)

// StandIn is one stand-in of a fleet.
type StandIn struct {
	Name    string
	Domain  ident.DomainID
	Address string
	Control *control.Client
	Process *process.Process // Nil when it runs in this process.

	server server   // Nil when it has its own process.
	args   []string // Arguments of its own process.
	starts int
}

// server is a stand-in in this process.
type server interface {
	Start() error
	Close() error
	Address() string
	ControlAddress() string
}

// startEmbedded starts a stand-in in this process.
func startEmbedded(name string, domain ident.DomainID, s server) (*StandIn, error) {
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

// startProcess starts a stand-in as a process of its own. Args are those of
// monsoonlab, the verb first.
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
	return s, f.launch(ctx, s)
}

// launch starts the process of a stand-in and waits until it serves.
func (f *Fleet) launch(ctx context.Context, s *StandIn) error {
	path, err := f.Runner.Build(ctx, "monsoonlab")
	if err != nil {
		return err
	}
	s.starts++
	name := fmt.Sprintf("%s-%d", s.Name, s.starts)
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
		return fmt.Errorf("%s printed %q: %w", s.Name, line, err)
	}
	return nil
}

// RestartStandIn starts a stand-in anew, with an empty memory, at the same
// addresses. It must run as a process.
func (f *Fleet) RestartStandIn(ctx context.Context, s *StandIn) error {
	if s.Process == nil {
		return fmt.Errorf("%s runs in this process", s.Name)
	}
	if err := s.Process.Kill(); err != nil {
		return err
	}
	return f.launch(ctx, s)
}

// close ends a stand-in in this process.
func (s *StandIn) close() error {
	if s.server == nil {
		return nil
	}
	return s.server.Close()
}
