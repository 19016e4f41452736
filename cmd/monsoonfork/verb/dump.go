package verb

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/io/operator"
)

// dump is the verb dump, which prints the internal state of one instance.
type dump struct {
	Role string `placeholder:"NAME" help:"Print the state of this role only."`
	daemonFlags
}

// Help is the usage text of the verb.
func (d *dump) Help() string {
	return `Prints the internal state of all roles of one instance as JSON.

Example:
  monsoonfork dump --role Budget --operator 10.0.0.7:9002`
}

// Run implements the verb.
func (d *dump) Run(std streams) error {
	raw, err := operator.NewClient(ident.Address(d.Operator)).Dump(context.Background())
	if err != nil {
		return err
	}
	if d.Role != "" {
		if raw, err = roleState(raw, d.Role); err != nil {
			return err
		}
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, raw, "", "  "); err != nil {
		return fault.Wrap(err, fault.Internal, "the dump is malformed")
	}
	_, err = fmt.Fprintln(std.out, indented.String())
	return err
}

// roleState returns the state of one role from a dump.
func roleState(raw json.RawMessage, role string) (json.RawMessage, error) {
	var whole struct{ Roles map[string]json.RawMessage }
	if err := json.Unmarshal(raw, &whole); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the dump is malformed")
	}
	part, ok := whole.Roles[role]
	if !ok {
		return nil, fault.New(fault.NotFound, "the dump has no role %q", role)
	}
	return part, nil
}
