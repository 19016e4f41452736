// Package keys makes and checks callers' keys, and ends the requests of keys
// that are withdrawn.
package keys

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// Sizes of a key.
const (
	secretBytes  = 24
	saltBytes    = 16
	maxKeyLength = 256 // Longer ones are refused unread.
)

// prefix begins every key, so that leaked ones can be searched for.
const prefix = "mf_"

// New makes a key for an organisation. The secret is for the caller only; the
// entry belongs into the text.
func New(name ident.KeyID, organisation ident.OrganisationID) (secret string, entry text.Key) {
	secret = prefix + string(name) + "_" + randomHex(secretBytes)
	entry = text.Key{Name: name, Organisation: organisation, Salt: randomHex(saltBytes)}
	salt, err := hex.DecodeString(entry.Salt)
	if err != nil {
		panic(err) // The salt was encoded just above.
	}
	entry.Digest = hex.EncodeToString(digest(salt, secret))
	return secret, entry
}

// randomHex returns n random bytes in hex.
func randomHex(n int) string {
	b := make([]byte, n)
	// crypto/rand.Read never fails: it ends the process instead.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// digest returns the HMAC-SHA-256 of a key under a salt.
func digest(salt []byte, secret string) []byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(secret))
	return mac.Sum(nil)
}

// nameIn returns the name in a key. A name may hold "_", a secret does not.
func nameIn(secret string) (ident.KeyID, bool) {
	rest, ok := strings.CutPrefix(secret, prefix)
	if !ok || len(secret) > maxKeyLength {
		return "", false
	}
	cut := strings.LastIndexByte(rest, '_')
	if cut <= 0 {
		return "", false
	}
	return ident.KeyID(rest[:cut]), true
}

// matches compares a key with an entry of the text in constant time.
func matches(entry *text.Key, secret string) bool {
	salt, err := hex.DecodeString(entry.Salt)
	if err != nil {
		return false
	}
	want, err := hex.DecodeString(entry.Digest)
	if err != nil {
		return false
	}
	return subtle.ConstantTimeCompare(digest(salt, secret), want) == 1
}
