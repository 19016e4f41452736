package fleet

import (
	"context"
	"fmt"
	"os/exec"
)

// applyInitialConfig generates the configuration text of the fleet and applies
// it through the first instance.
func (f *Fleet) applyInitialConfig(ctx context.Context) error {
	f.Text = f.newConfig()
	if err := f.Instances[0].WaitAlive(ctx); err != nil {
		return err
	}
	_, err := f.Apply(ctx, f.Instances[0])
	return err
}

// Apply writes f.Text to a file and applies it with the command monsoonfork apply
// through an instance, as an operator does. It returns the command's output.
func (f *Fleet) Apply(ctx context.Context, i *Instance) (string, error) {
	raw, err := Encode(f.Text)
	if err != nil {
		return "", err
	}
	path, err := f.Runner.WriteFile("fleet.yaml", raw)
	if err != nil {
		return "", err
	}
	return f.RunCommand(ctx, "apply", path, "--operator", string(i.Settings.OperatorAddress))
}

// RunCommand runs the monsoonfork command with args, the verb first, and returns
// its standard output and standard error together.
func (f *Fleet) RunCommand(ctx context.Context, args ...string) (string, error) {
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
