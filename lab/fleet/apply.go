package fleet

import (
	"context"
	"fmt"
	"os/exec"
)

// applyFirst puts the fleet's text in force.
func (f *Fleet) applyFirst(ctx context.Context) error {
	f.Text = f.newText()
	if err := f.Instances[0].WaitAlive(ctx); err != nil {
		return err
	}
	_, err := f.Apply(ctx, f.Instances[0])
	return err
}

// Apply writes f.Text and puts it in force by way of an instance, as an
// operator does. It returns what the program printed.
func (f *Fleet) Apply(ctx context.Context, i *Instance) (string, error) {
	raw, err := Encode(f.Text)
	if err != nil {
		return "", err
	}
	path, err := f.Runner.WriteFile("fleet.yaml", raw)
	if err != nil {
		return "", err
	}
	return f.Operate(ctx, "apply", path, "--operator", string(i.Settings.OperatorAddress))
}

// Operate runs a verb of monsoonfork and returns what it printed.
func (f *Fleet) Operate(ctx context.Context, args ...string) (string, error) {
	program, err := f.Runner.Build(ctx, "monsoonfork")
	if err != nil {
		return "", err
	}
	output, err := exec.CommandContext(ctx, program, args...).CombinedOutput()
	if err != nil {
		return string(output), fmt.Errorf("monsoonfork %v: %w: %s", args, err, output)
	}
	return string(output), nil
}
