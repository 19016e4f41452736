package fault

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is an error with a kind that also tells whether the request ran.
type Error struct {
	Kind       Kind
	Ran        Ran
	Message    string    // For the caller or operator; must not contain secrets.
	RetryAfter time.Time // Earliest time of a retry; zero if unknown.
	cause      error
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Message, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of the given kind, with the default Ran of the kind.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Ran: ResponseFor(k).Ran, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the given kind that keeps err as its cause.
func Wrap(err error, k Kind, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.cause = errors.WithStackDepth(err, 1)
	return e
}

// WithRan returns a copy of e whose field Ran is ran.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.Ran = ran
	return &c
}

// WithRetryAfter returns a copy of e with the earliest time at which a retry may succeed.
func (e *Error) WithRetryAfter(at time.Time) *Error {
	c := *e
	c.RetryAfter = at
	return &c
}

// From returns the *Error that err is or wraps. Otherwise it wraps err: an exceeded
// deadline of a context gets the kind DeadlineExceeded, a cancelled context CallerGone,
// and any other error Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Wrap(err, DeadlineExceeded, "deadline exceeded")
	}
	if errors.Is(err, context.Canceled) {
		return Wrap(err, CallerGone, "cancelled")
	}
	return Wrap(err, Internal, "internal error")
}

// KindOf returns the kind that From gives err, which must not be nil.
func KindOf(err error) Kind { return From(err).Kind }

// Is reports whether err has kind k. It is false for a nil error.
func Is(err error, k Kind) bool { return err != nil && KindOf(err) == k }
