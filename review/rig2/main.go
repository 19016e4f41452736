// Command rig2 plays the cases of the second independent review: it starts instances with the
// command of the deploy file beside stand-ins of the platform, of engines and of clients, and checks
// a rule of the users' pages. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases are the cases by name. The argument tells whether the disruption is played.
var cases = map[string]func(r *record, trouble bool) error{
	"drill":  playDrill,
	"status": playStatus,
}

func main() {
	// The kernel ends the processes of a case when the thread that started them ends.
	runtime.LockOSThread()
	os.Exit(playCase())
}

// playCase plays the case named on the command line and writes its record to the given folder.
func playCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return notRun
	}
	r := newRecord()
	err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	verdict, code := "the rule held", ruleHeld
	switch {
	case err != nil:
		verdict, code = "the case couldn't run: "+err.Error(), notRun
	case len(r.breaks()) > 0:
		verdict, code = fmt.Sprintf("the rule was broken, %d observations", len(r.breaks())), ruleBroken
	}
	if err := r.write(filepath.Join(os.Args[2], "record.txt"), verdict); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	fmt.Println(verdict)
	return code
}
