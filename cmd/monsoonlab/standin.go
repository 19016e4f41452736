package main

import (
	"context"
	"encoding/json"
	"os"

	"monsoonfork/io/standin/control"
)

// listenFlags are the flags that all stand-ins have.
type listenFlags struct {
	Address string `default:"127.0.0.1:0" help:"Address to serve; port 0 takes a free one."`
	Control string `default:"127.0.0.1:0" help:"Address for faults and records; port 0 takes a free one."`
}

// addresses returns the flags as addresses.
func (f listenFlags) addresses() control.Addresses {
	return control.Addresses{Serve: f.Address, Control: f.Control}
}

// standIn is what all stand-ins have in common.
type standIn interface {
	Start() error
	Close() error
	Address() string
	ControlAddress() string
}

// readyLine is printed to standard output when a stand-in serves.
type readyLine struct {
	Address        string `json:"Address"`
	ControlAddress string `json:"ControlAddress"`
}

// serveUntilDone runs a stand-in until ctx ends.
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
