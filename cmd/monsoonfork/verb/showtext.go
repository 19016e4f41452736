package verb

import (
	"context"
	"fmt"

	"monsoonfork/core/ident"
	"monsoonfork/io/operator"
)

// showText is the verb text, which prints the configuration text in force.
type showText struct {
	Operator string `required:"" env:"MONSOONFORK_OPERATOR" placeholder:"ADDRESS" help:"Operator address of any instance."`
}

// Help is the usage text of the verb.
func (s *showText) Help() string {
	return `Prints the configuration text in force at an instance, exactly as it was applied,
to standard output, and its revision to standard error.

Example:
  monsoonfork text --operator 10.0.0.7:9002 > fleet.yaml`
}

// Run implements the verb.
func (s *showText) Run(std streams) error {
	raw, revision, err := operator.NewClient(ident.Address(s.Operator)).Text(context.Background())
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(std.err, "revision %d\n", revision)
	_, err = std.out.Write(raw)
	return err
}
