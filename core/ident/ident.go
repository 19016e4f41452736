// Package ident declares the named types for identifiers and units that all
// other packages share.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
	"time"
)

// InstanceID identifies one run of a daemon process. A restarted process gets a new
// InstanceID, even if its name and address are the same.
type InstanceID string

// DomainID identifies a failure domain.
type DomainID string

// RegionID identifies a region, which contains failure domains.
type RegionID string

// OrganisationID identifies a customer organisation.
type OrganisationID string

// KeyID identifies a caller's API key. Unlike the key, it is not secret.
type KeyID string

// ModelID identifies a model that engines serve.
type ModelID string

// ServiceID identifies a service of the operator's configuration text.
type ServiceID string

// EndpointID identifies a model engine, or one endpoint of a service that serves no model.
type EndpointID string

// RequestID identifies one request of a caller. All log lines and calls that the request
// causes carry it.
type RequestID string

// Address is a network address: host and port, such as "127.0.0.1:8080".
type Address string

// PartID identifies a part of a prompt, such as a shared system prompt. Requests whose prompts
// have the same part name it by the same id.
type PartID string

// Tokens is a number of model tokens.
type Tokens int64

// TokensPerSecond is a rate of model tokens.
type TokensPerSecond float64

// Pieces is a number of fixed-size parts of an engine's memory.
type Pieces int64

// Bytes is a size in bytes.
type Bytes int64

// Revision numbers the accepted versions of the configuration text, from 1 upwards.
type Revision int64

// Epoch numbers the successive holders of a slot or a lease (a fencing number).
type Epoch int64

// randomIDBytes is the length of a random identifier before hex encoding.
const randomIDBytes = 8

// NewInstanceID returns a new InstanceID: the given name, a hyphen and a random suffix.
func NewInstanceID(name string) InstanceID {
	return InstanceID(name + "-" + randomHex())
}

// RequestIDOfAttempt returns the id of the request that an attempt belongs to. The id of an
// attempt is the id of its request, a dot and a number.
func RequestIDOfAttempt(attempt string) RequestID {
	if end := strings.LastIndexByte(attempt, '.'); end >= 0 {
		attempt = attempt[:end]
	}
	return RequestID(attempt)
}

// NewRequestID returns a new random RequestID.
func NewRequestID() RequestID {
	return RequestID(randomHex())
}

// randomHex returns randomIDBytes random bytes in hex.
func randomHex() string {
	b := make([]byte, randomIDBytes)
	// crypto/rand.Read never returns an error: it ends the process instead.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Deadline is the time by which an operation must have ended.
type Deadline = time.Time
