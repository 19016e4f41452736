// Command monsoonfork is the router: the daemon of every instance, and the
// operators' tool.
package main

import (
	"os"

	"monsoonfork/cmd/monsoonfork/verb"
)

func main() {
	os.Exit(verb.Main(os.Args[1:], os.Stdout, os.Stderr))
}
