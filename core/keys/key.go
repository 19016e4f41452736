// Package keys generates and verifies callers' keys, and ends the running requests
// of withdrawn keys.
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

// Sizes of the parts of a key, and the maximum length of a whole key.
const (
	secretBytes  = 24
	saltBytes    = 16
	maxKeyLength = 256 // Longer keys are rejected without being parsed.
)

// keyPrefix is the start of every key. It makes leaked keys easy to search for.
const keyPrefix = "mf_"

// Generate creates a key for an organisation. secret is the whole key, which only the
// caller must have; entry is for the configuration text.
func Generate(name ident.KeyID, organisation ident.OrganisationID) (secret string, entry text.Key) {
	secret = keyPrefix + string(name) + "_" + randomHex(secretBytes)
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
	// crypto/rand.Read never returns an error: it ends the process instead.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// digest returns the HMAC-SHA-256 of a key, with the salt as HMAC key.
func digest(salt []byte, secret string) []byte {
	mac := hmac.New(sha256.New, salt)
	mac.Write([]byte(secret))
	return mac.Sum(nil)
}

// parseName returns the name in a key. It is cut at the last "_", since a name may
// contain "_" but the random part is hexadecimal.
func parseName(secret string) (ident.KeyID, bool) {
	rest, ok := strings.CutPrefix(secret, keyPrefix)
	if !ok || len(secret) > maxKeyLength {
		return "", false
	}
	cut := strings.LastIndexByte(rest, '_')
	if cut <= 0 {
		return "", false
	}
	return ident.KeyID(rest[:cut]), true
}

// keyMatches reports whether a key has the digest of an entry. The digests are
// compared in constant time.
func keyMatches(entry *text.Key, secret string) bool {
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
