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

// statusPause is the time between two questions where a revision is in force.
const statusPollInterval = 200 * time.Millisecond

// apply makes a text the next revision.
type apply struct {
	File string        `arg:"" help:"The text, or - for standard input."`
	Base *int64        `placeholder:"REVISION" help:"Revision that the text is an edit of, as plan names it. Without it, the one in force at the instance now."`
	Edit string        `placeholder:"ID" help:"Id of this edit. Give the same one again to learn the outcome of an edit whose answer was lost."`
	Wait time.Duration `default:"4s" help:"How long to wait until the text is in force everywhere. 0 answers as soon as it is accepted."`
	daemonFlags
}

// Help is the usage text of the verb.
func (a *apply) Help() string {
	return `Makes a text the next revision. Two answers come apart: "accepted" when the
store has taken it, from when on it is never taken back, and "in force" when
every known instance has it. Instances and domains that were not heard from are
named; they take the text when they can be reached.

If the text is at another revision than the base, the edit is refused and the
difference is shown. If the store's answer is lost and can't be read back in
time, the outcome is said to be unknown, with the edit id to ask again with.

Exit code: 0 when the text is accepted, in force everywhere or not yet; else 1.

Example:
  monsoonfork apply fleet.yaml --base 7 --operator 10.0.0.7:9002`
}

// applyAnswer is the answer in JSON.
type applyAnswer struct {
	Accepted config.Accepted
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

// base returns the revision that the text is an edit of.
func (a *apply) baseRevision(ctx context.Context, client *operator.Client) (ident.Revision, error) {
	if a.Base != nil {
		return ident.Revision(*a.Base), nil
	}
	status, err := client.Status(ctx)
	return status.Config.Revision, err
}

// await asks until the revision, or a later one, is in force everywhere.
func (a *apply) waitInForce(ctx context.Context, client *operator.Client, accepted config.Accepted) applyAnswer {
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

// answer prints where the revision is in force.
func (a *apply) printAnswer(std streams, printAnswer applyAnswer) error {
	if a.JSON {
		return printJSON(std.out, printAnswer)
	}
	if printAnswer.Waited != "" {
		printInForce(std.out, printAnswer.Status)
		_, _ = fmt.Fprintf(std.out, "Waited %s.\n", printAnswer.Waited)
	}
	return nil
}
