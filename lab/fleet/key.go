package fleet

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// keyBytes and saltBytes are the sizes of random keys and salts.
const (
	keyBytes  = 24
	saltBytes = 16
)

// NewKey returns a random key of an organisation and its line in the text.
func NewKey(name ident.KeyID, organisation ident.OrganisationID) (key string, line text.Key) {
	secret := make([]byte, keyBytes)
	salt := make([]byte, saltBytes)
	// crypto/rand.Read never fails: it ends the process instead.
	_, _ = rand.Read(secret)
	_, _ = rand.Read(salt)
	key = "mf-" + hex.EncodeToString(secret)
	digest := hmac.New(sha256.New, salt)
	digest.Write([]byte(key))
	return key, text.Key{
		Name:         name,
		Organisation: organisation,
		Salt:         hex.EncodeToString(salt),
		Digest:       hex.EncodeToString(digest.Sum(nil)),
	}
}
