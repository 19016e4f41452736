package verb

import (
	"context"
	"fmt"
	"time"

	"monsoonfork/core/config"
	"monsoonfork/core/config/relay"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
	"monsoonfork/io/operator"
)

// statusPollInterval is the time between two requests for the status while apply waits.
const statusPollInterval = 200 * time.Millisecond

// apply is the verb apply, which makes a configuration text the next revision.
type apply struct {
	File string        `arg:"" help:"File with the configuration text, or - for standard input."`
	Base *int64        `placeholder:"REVISION" help:"Revision that the text is based on, as printed by plan. Default: the revision now in force at the instance."`
	Edit string        `placeholder:"ID" help:"ID of this edit. Repeat the command with the same ID to find out the outcome of an edit whose answer was lost."`
	Wait time.Duration `default:"4s" help:"Maximum time to wait until the text is in force everywhere; 0 returns as soon as it is accepted."`
	daemonFlags
}

// Help is the usage text of the verb.
func (a *apply) Help() string {
	return `Makes a configuration text the next revision. The text is reported as "accepted"
once it is written to the store, which is final, and as "in force" once every
known instance uses it. Instances and failure domains that were not heard from
are listed; they take over the text once they can be reached.

If the current revision is not the base, the edit is refused and the difference
is shown. If the store's answer is lost and the result can't be read back in
time, the outcome is reported as unknown, with the edit ID to repeat the command
with.

Exit code: 0 if the text is accepted, whether in force everywhere or not; else 1.

Example:
  monsoonfork apply fleet.yaml --base 7 --operator 10.0.0.7:9002`
}

// applyAnswer is the output of apply in JSON.
type applyAnswer struct {
	Accepted config.ApplyResult
	InForce  bool
	Waited   string
	Status   relay.Status
}

// Run implements the verb.
func (a *apply) Run(std streams) error {
	raw, err := readText(a.File)
	if err != nil {
		return err
	}
	if _, problems := text.Parse(raw); len(problems) > 0 {
		return problemsError(std, a.File, problems)
	}
	ctx := context.Background()
	client := operator.NewClient(ident.Address(a.Operator))
	base, err := a.baseRevision(ctx, client)
	if err != nil {
		return err
	}
	if a.Edit == "" {
		a.Edit = "edit-" + string(ident.NewRequestID())
	}
	accepted, err := client.Apply(ctx, raw, base, a.Edit)
	if err != nil {
		return err
	}
	if !a.JSON {
		_, _ = fmt.Fprintf(std.out, "Accepted: revision %d, edit %s.\n", accepted.Revision, accepted.EditID)
	}
	if a.Wait <= 0 {
		return a.printAnswer(std, applyAnswer{Accepted: accepted})
	}
	return a.printAnswer(std, a.waitInForce(ctx, client, accepted))
}

// baseRevision returns the revision that the text is based on.
func (a *apply) baseRevision(ctx context.Context, client *operator.Client) (ident.Revision, error) {
	if a.Base != nil {
		return ident.Revision(*a.Base), nil
	}
	status, err := client.Status(ctx)
	return status.Config.Revision, err
}

// waitInForce polls the status until the revision, or a later one, is in force
// everywhere, for a.Wait at most.
func (a *apply) waitInForce(ctx context.Context, client *operator.Client, accepted config.ApplyResult) applyAnswer {
	start := time.Now()
	deadline := start.Add(a.Wait)
	answer := applyAnswer{Accepted: accepted}
	for {
		status, err := client.Status(ctx)
		now := time.Now()
		if err == nil {
			answer.Status = status.Config
			answer.InForce = status.Config.InForce && status.Config.Revision >= accepted.Revision
		}
		answer.Waited = now.Sub(start).Round(time.Millisecond).String()
		if answer.InForce || !now.Add(statusPollInterval).Before(deadline) {
			return answer
		}
		time.Sleep(statusPollInterval)
	}
}

// printAnswer prints where the revision is in force, or all of the answer in JSON.
func (a *apply) printAnswer(std streams, answer applyAnswer) error {
	if a.JSON {
		return printJSON(std.out, answer)
	}
	if answer.Waited != "" {
		printInForce(std.out, answer.Status)
		_, _ = fmt.Fprintf(std.out, "Waited %s.\n", answer.Waited)
	}
	return nil
}
