package main

import "fmt"

// printFindings prints what a soak has found, and the command that repeats it. It returns an
// error if there are findings.
func printFindings[F any](findings []F, command string) error {
	for _, f := range findings {
		fmt.Println("FINDING", f)
	}
	if n := len(findings); n > 0 {
		return fmt.Errorf("%d findings; repeat: %s", n, command)
	}
	fmt.Println("no findings:", command)
	return nil
}
