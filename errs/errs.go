// Package errs defines the kinds of error that packages return to each other.
// The message of an error ends with its remedy, the action that the receiver
// should take.
package errs

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies errors by the action that is open to the receiver.
type Kind uint8

// Kinds of error.
const (
	// Invalid means that the input is wrong. A retry with the same input fails.
	Invalid Kind = iota + 1
	// Unauthenticated means that the credentials are missing or wrong.
	Unauthenticated
	// Forbidden means that the caller's role does not allow the action.
	Forbidden
	// NotFound means that the named object does not exist.
	NotFound
	// Conflict means that the object changed since it was read.
	Conflict
	// Exhausted means that a queue is full, or a limit or budget is used up.
	Exhausted
	// Unavailable means that a dependency does not respond or refuses requests
	// temporarily. A later retry can succeed.
	Unavailable
	// Stale means that the request used an outdated epoch, fence or incarnation.
	Stale
	// Unknown means that the action may or may not have taken effect.
	Unknown
	// Corrupt means that received data failed a check.
	Corrupt
	// Internal means a defect in this program.
	Internal
)

var kindNames = map[Kind]string{
	Invalid: "invalid", Unauthenticated: "unauthenticated", Forbidden: "forbidden",
	NotFound: "not_found", Conflict: "conflict", Exhausted: "exhausted",
	Unavailable: "unavailable", Stale: "stale", Unknown: "unknown",
	Corrupt: "corrupt", Internal: "internal",
}

// String returns the name that the kind has on the wire and in logs.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return fmt.Sprintf("kind_%d", uint8(k))
}

// Error is an error with a kind, a description of the problem and a remedy.
type Error struct {
	Kind    Kind
	Problem string
	Remedy  string
	cause   error
}

// Error returns the problem, the cause and the remedy in this sequence. The
// cause and the remedy are omitted if they are not set.
func (e *Error) Error() string {
	text := e.Problem
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	if e.Remedy != "" {
		text += "; " + e.Remedy
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of a kind with a remedy. problem is a format string for
// args.
func New(kind Kind, remedy, problem string, args ...any) error {
	return &Error{Kind: kind, Problem: fmt.Sprintf(problem, args...), Remedy: remedy}
}

// Wrap adds a kind, a problem and a remedy to a cause. problem is a format string
// for args. Wrap returns nil if the cause is nil.
func Wrap(cause error, kind Kind, remedy, problem string, args ...any) error {
	if cause == nil {
		return nil
	}
	return &Error{Kind: kind, Problem: fmt.Sprintf(problem, args...), Remedy: remedy, cause: cause}
}

// KindOf returns the kind of the outermost Error in the chain of err, or Internal
// if the chain contains none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err is not nil and KindOf returns the kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }
