package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// scenario plays a case and returns what broke the rule, or nothing if it held.
type scenario func(b *bed, trouble bool) ([]string, error)

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"moved":  moved,
	"resume": resume,
}

// The exit codes.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig3 SCENARIO PROGRAM RECORD")
		os.Exit(couldNotRun)
	}
	s, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", os.Args[1])
		os.Exit(couldNotRun)
	}
	os.Exit(play(s, os.Args[2], os.Args[3]))
}

// play plays a scenario with a program and writes a record. It returns the exit code.
func play(s scenario, program, record string) int {
	b, err := newBed(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer b.close()
	go b.closeOnSignal()
	broken, err := s(b, os.Getenv("TROUBLE") != "0")
	if err != nil {
		b.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	for _, line := range broken {
		b.note("BROKEN: %s", line)
		fmt.Println(line)
	}
	if len(broken) > 0 {
		return ruleBroken
	}
	b.note("the rule held")
	return ruleHeld
}

// closeOnSignal ends all processes if this one is told to stop.
func (b *bed) closeOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	<-stop
	b.close()
	os.Exit(couldNotRun)
}
