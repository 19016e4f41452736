// Package endpoint holds the messages of calls to endpoints, which are model engines and
// plain services. Package io/httpcall carries them.
package endpoint

import (
	"net/http"
	"time"

	"monsoonfork/core/ident"
)

// Head is the status and headers of a response.
type Head struct {
	Status int
	Header http.Header
	Length int64 // Length of the body; -1 if unknown. Only httpcall.Pool sets it.
}

// Sink receives a response as it arrives: OnHead once, then OnBody for each fragment of
// the body. An error from either function ends the call with that error.
type Sink struct {
	OnHead func(Head) error
	OnBody func([]byte) error // May be nil. It may keep the slice.
}

// Limits are the time limits for the stages of a call. A zero value means no limit.
type Limits struct {
	ConnectDeadline   time.Time     // Deadline to establish the connection.
	SendDeadline      time.Time     // Deadline to send the request; checked right before the write.
	FirstByteDeadline time.Time     // Deadline for the first byte of the response.
	ReadTimeout       time.Duration // Maximum time between two reads of the response.

	// DeliveryTimeout is how long sent bytes of the request may stay unacknowledged.
	// After it the kernel drops them and the connection, even while this process is
	// paused. When the call ends, bytes that were not delivered are dropped too. Only
	// httpcall.Client uses it.
	DeliveryTimeout  time.Duration
	ResponseDeadline time.Time // Deadline for the complete response.
}

// ServiceCall is a call to a plain service. Header must contain neither the caller's API
// key nor hop-by-hop headers.
type ServiceCall struct {
	Method    string
	Target    string // Path and query.
	Header    http.Header
	Body      []byte
	RequestID ident.RequestID
	Deadline  time.Time // Deadline for the complete response.
	SendBy    time.Time // Latest time of the send; zero for no limit.
}
