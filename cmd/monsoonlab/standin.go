package main

import (
	"context"
	"encoding/json"
	"os"

	"monsoonfork/io/standin/control"
)

// listenFlags are the flags of all stand-ins.
type listenFlags struct {
	Address string `default:"127.0.0.1:0" help:"Address to listen on; port 0 picks a free port."`
	Control string `default:"127.0.0.1:0" help:"Address for injecting faults and reading records; port 0 picks a free port."`
}

// addresses returns the flags as addresses.
func (f listenFlags) addresses() control.Addresses {
	return control.Addresses{Protocol: f.Address, Control: f.Control}
}

// standIn is the interface of all stand-ins.
type standIn interface {
	Start() error
	Close() error
	Address() string
	ControlAddress() string
}

// readyLine is the line of JSON printed to standard output once a stand-in serves.
type readyLine struct {
	Address        string `json:"Address"`
	ControlAddress string `json:"ControlAddress"`
}

// serveUntilDone serves a stand-in until ctx ends.
func serveUntilDone(ctx context.Context, s standIn) error {
	if err := s.Start(); err != nil {
		return err
	}
	ready := readyLine{Address: s.Address(), ControlAddress: s.ControlAddress()}
	if err := json.NewEncoder(os.Stdout).Encode(ready); err != nil {
		return err
	}
	<-ctx.Done()
	return s.Close()
}
