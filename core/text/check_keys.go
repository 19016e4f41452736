package text

import (
	"crypto/sha256"
	"encoding/hex"

	"monsoonfork/core/fault"
)

// minSaltBytes is the minimum length of the salt of a key digest.
const minSaltBytes = 16

// checkKeys checks the callers' keys.
func (c *checker) checkKeys() {
	organisations := c.text.organisationNames()
	for i, k := range c.text.Keys {
		path := pathf("Keys[%d]", i)
		c.checkName(path+".Name", string(k.Name), namePattern)
		checkReference(c, path+".Organisation", k.Organisation, organisations, "Organisations")
		salt, err := hex.DecodeString(k.Salt)
		if err != nil || len(salt) < minSaltBytes {
			c.Addf(path+".Salt", "use the entry printed by `monsoonfork key new`", "the salt is not %d bytes or more in hex", minSaltBytes)
		}
		digest, err := hex.DecodeString(k.Digest)
		if err != nil || len(digest) != sha256.Size {
			c.Addf(path+".Digest", "use the entry printed by `monsoonfork key new`", "the digest is not %d bytes in hex", sha256.Size)
		}
	}
	checkUnique(c, c.text.keyNames(), func(i int) string { return pathf("Keys[%d].Name", i) })
}

// CheckKey checks the form of the names in one key entry, without the rest of the
// text. Errors have kind BadRequest.
func CheckKey(k Key) error {
	for _, name := range []string{string(k.Name), string(k.Organisation)} {
		if len(name) > maxNameLength || !namePattern.MatchString(name) {
			return fault.New(fault.BadRequest, "%q is not a name: use at most %d letters, digits, '.', '_' and '-', beginning with a letter or digit", name, maxNameLength)
		}
	}
	return nil
}
