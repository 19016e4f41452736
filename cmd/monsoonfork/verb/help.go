package verb

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/kernel"
	"monsoonfork/core/settings"
	"monsoonfork/core/text"
)

// help is the verb help, whose subcommands print reference texts.
type help struct {
	Topics helpTopics `cmd:"" default:"1" help:"List the topics of help."`
	Verb   helpVerb   `cmd:"" help:"Show the usage of a verb."`
	Type   helpType   `cmd:"" help:"Show the fields of a type of the configuration text."`
	Roles  helpRoles  `cmd:"" help:"List the roles of the daemon."`
	Events helpEvents `cmd:"" help:"List the events of the daemon's log."`
}

// Help is the usage text of the verb.
func (h *help) Help() string {
	return `Shows the usage of verbs and the reference of the configuration text's types,
the daemon's roles and the events of its log.

Example:
  monsoonfork help type Engine`
}

// helpTopics lists the topics of help.
type helpTopics struct{}

// Run implements the verb.
func (h *helpTopics) Run(std streams) error {
	w := tabwriter.NewWriter(std.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "Verbs (monsoonfork help verb NAME):")
	for _, e := range verbTable() {
		_, _ = fmt.Fprintf(w, "  %s\t%s\n", e.name, e.summary)
	}
	_ = w.Flush()
	_, err := fmt.Fprintf(std.out, "Types of the configuration text (monsoonfork help type NAME):\n  %s\n"+
		"Roles of the daemon (monsoonfork help roles).\n"+
		"Events of the daemon's log (monsoonfork help events).\n", strings.Join(text.TypeNames(), ", "))
	return err
}

// helpVerb prints the usage of a verb.
type helpVerb struct {
	Name string `arg:"" help:"Name of the verb."`
}

// Run implements the verb.
func (h *helpVerb) Run(std streams) error {
	var names []string
	for _, e := range verbTable() {
		if e.name == h.Name {
			Main([]string{e.name, "--help"}, std.out, std.err)
			return nil
		}
		names = append(names, e.name)
	}
	return fault.New(fault.NotFound, "no verb %q; verbs are %s", h.Name, strings.Join(names, ", "))
}

// helpType prints the reference of a type of the configuration text.
type helpType struct {
	Name string `arg:"" help:"Name of the type."`
}

// Run implements the verb.
func (h *helpType) Run(std streams) error {
	section, err := text.TypeReference(h.Name)
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(std.out, section)
	return err
}

// helpRoles lists the roles of the daemon with their summaries.
type helpRoles struct{}

// Run implements the verb.
func (h *helpRoles) Run(std streams) error {
	roles, err := kernel.Roles(settings.OwnText)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(std.out, 0, 4, 2, ' ', 0)
	for _, r := range roles {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", r.Name, r.Summary)
	}
	return w.Flush()
}

// helpEvents prints the reference of the events of the log.
type helpEvents struct {
	Msg string `arg:"" optional:"" help:"Value of the field msg in a log line. Default: all events."`
}

// Run implements the verb.
func (h *helpEvents) Run(std streams) error {
	if h.Msg == "" {
		return event.WriteReference(std.out)
	}
	e, err := event.ParseEvent(h.Msg)
	if err != nil {
		return err
	}
	return e.WriteReference(std.out)
}
