package verb

import (
	"io"
	"os"

	"monsoonfork/core/fault"
	"monsoonfork/core/text"
)

// standardInput is the file name that denotes standard input.
const standardInput = "-"

// readText reads a configuration text from a file or from standard input.
func readText(name string) ([]byte, error) {
	var raw []byte
	var err error
	if name == standardInput {
		// One byte more than the maximum, so that a text that is too large is rejected
		// rather than cut.
		raw, err = io.ReadAll(io.LimitReader(os.Stdin, text.MaxBytes+1))
	} else {
		raw, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.BadText, "cannot read %s", name)
	}
	return raw, nil
}
