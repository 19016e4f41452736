// Command monsoonfork is a router for model engines with separate prefill and decode
// pools: it is both the daemon of an instance and the operators' command-line tool.
package main

import (
	"os"

	"monsoonfork/cmd/monsoonfork/verb"
)

func main() {
	os.Exit(verb.Main(os.Args[1:], os.Stdout, os.Stderr))
}
