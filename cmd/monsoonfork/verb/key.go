package verb

import (
	"fmt"

	"go.yaml.in/yaml/v3"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keys"
	"monsoonfork/core/text"
)

// key holds the verbs about callers' keys.
type key struct {
	New keyNew `cmd:"" help:"Make a key for an organisation."`
}

// Help is the usage text of the verb.
func (k *key) Help() string {
	return `Makes callers' keys. To withdraw one, write "Withdrawn: true" in its entry of the
text and apply it: requests that run with it are ended, and new ones refused.`
}

// keyNew makes a key.
type keyNew struct {
	Name         string `arg:"" help:"Name of the key. It is not secret."`
	Organisation string `required:"" help:"Organisation that requests with the key run for."`
	JSON         bool   `name:"json" help:"Answer in JSON."`
}

// Help is the usage text of the verb.
func (k *keyNew) Help() string {
	return `Makes a random key and prints it with the entry for the text. The key itself is
shown this once and stored nowhere: the text holds a salted digest of it.

Example:
  monsoonfork key new planner --organisation tuinhulp`
}

// keyAnswer is the answer in JSON.
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
	_, err = fmt.Fprintf(std.out, "Key for the caller, shown this once:\n%s\n\nEntry for Keys in the text:\n%s", secret, raw)
	return err
}
