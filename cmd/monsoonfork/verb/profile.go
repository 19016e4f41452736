package verb

import (
	"context"
	"fmt"
	"os"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/io/operator"
)

// profile is the verb profile, which records a CPU profile of one instance.
type profile struct {
	Seconds int    `default:"10" help:"Duration of the profile in seconds."`
	File    string `arg:"" help:"File to write the profile to." type:"path"`
	daemonFlags
}

// Help is the usage text of the verb.
func (p *profile) Help() string {
	return `Records a CPU profile of one instance and writes it to a file in the format of
'go tool pprof'.

Example:
  monsoonfork profile --seconds 20 --operator 10.0.0.7:9002 entry.prof`
}

// Run implements the verb.
func (p *profile) Run(std streams) error {
	raw, err := operator.NewClient(ident.Address(p.Operator)).Profile(context.Background(), p.Seconds)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.File, raw, 0o644); err != nil {
		return fault.Wrap(err, fault.BadRequest, "cannot write %s", p.File)
	}
	_, err = fmt.Fprintf(std.out, "profile of %d seconds written\n", p.Seconds)
	return err
}
