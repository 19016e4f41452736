package verb

import (
	"fmt"

	"go.yaml.in/yaml/v3"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keys"
	"monsoonfork/core/text"
)

// key is the verb key, whose subcommands manage callers' keys.
type key struct {
	New keyNew `cmd:"" help:"Create a key for an organisation."`
}

// Help is the usage text of the verb.
func (k *key) Help() string {
	return `Creates callers' keys. To withdraw a key, set "Withdrawn: true" in its entry of
the configuration text and apply the text: running requests with the key are
aborted, and new ones are refused.`
}

// keyNew creates a key.
type keyNew struct {
	Name         string `arg:"" help:"Name of the key, which is not secret."`
	Organisation string `required:"" help:"Organisation that requests with the key are accounted to."`
	JSON         bool   `name:"json" help:"Print the result as JSON."`
}

// Help is the usage text of the verb.
func (k *keyNew) Help() string {
	return `Creates a random key and prints it with its entry for the configuration text.
The key itself is printed only here and stored nowhere: the entry has a salted
digest of it.

Example:
  monsoonfork key new planner --organisation tuinhulp`
}

// keyAnswer is the output of key new in JSON.
type keyAnswer struct {
	Key   string
	Entry text.Key
}

// Run implements the verb.
func (k *keyNew) Run(std streams) error {
	secret, entry := keys.Generate(ident.KeyID(k.Name), ident.OrganisationID(k.Organisation))
	if problem := text.CheckKey(entry); problem != nil {
		return problem
	}
	if k.JSON {
		return printJSON(std.out, keyAnswer{secret, entry})
	}
	raw, err := yaml.Marshal([]text.Key{entry})
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode the entry")
	}
	_, err = fmt.Fprintf(std.out, "Key for the caller, printed only this once:\n%s\n\nEntry for Keys in the configuration text:\n%s", secret, raw)
	return err
}
