// Package ident declares the named types for identifiers and units that all
// other packages share.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
	"time"
)

// InstanceID names one run of one daemon process. A process that starts anew
// on the same instance gets another InstanceID.
type InstanceID string

// DomainID names a failure domain.
type DomainID string

// OrganisationID names a customer organisation.
type OrganisationID string

// KeyID names a caller's key. It is not secret.
type KeyID string

// ModelID names a model that engines serve.
type ModelID string

// ServiceID names a service of the text.
type ServiceID string

// EndpointID names a model engine or one endpoint of a plain service.
type EndpointID string

// RequestID names one request of a caller. It is the same in all log lines and
// in all calls that the request causes.
type RequestID string

// Address is a host and port, such as "127.0.0.1:8080".
type Address string

// Tokens is a number of model tokens.
type Tokens int64

// TokensPerSecond is a rate of model tokens.
type TokensPerSecond float64

// Pieces is a number of fixed-size parts of an engine's memory.
type Pieces int64

// Bytes is a size in bytes.
type Bytes int64

// Revision numbers the accepted configuration texts, from 1 upwards.
type Revision int64

// Epoch numbers the successive holders of a slot or a lease (a fencing number).
type Epoch int64

// randomIDBytes is the length of a random identifier before hex encoding.
const randomIDBytes = 8

// NewInstanceID returns a new InstanceID that starts with the given name.
func NewInstanceID(name string) InstanceID {
	return InstanceID(name + "-" + randomHex())
}

// RequestOfAttempt returns the request that an attempt belongs to. The id of an
// attempt is that of its request, a dot and a number.
func RequestOfAttempt(attempt string) RequestID {
	if end := strings.LastIndexByte(attempt, '.'); end >= 0 {
		attempt = attempt[:end]
	}
	return RequestID(attempt)
}

// NewRequestID returns a new random RequestID.
func NewRequestID() RequestID {
	return RequestID(randomHex())
}

// randomHex returns random bytes in hex notation.
func randomHex() string {
	b := make([]byte, randomIDBytes)
	// crypto/rand.Read never fails: it ends the process instead.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Deadline is a point in time at which something ends.
type Deadline = time.Time
