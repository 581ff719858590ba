// Package errs defines the kinds of error that cross package borders. Each
// error carries a remedy, which its message names.
package errs

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies an error by what its receiver can do about it.
type Kind uint8

// Kinds of error.
const (
	// Invalid means that the input is wrong; sending it again cannot succeed.
	Invalid Kind = iota + 1
	// Unauthenticated means that the credentials are missing or wrong.
	Unauthenticated
	// Forbidden means that the caller's role does not allow the action.
	Forbidden
	// NotFound means that the named object does not exist.
	NotFound
	// Conflict means that the object changed since it was read.
	Conflict
	// Exhausted means that a queue, a limit or a budget is used up.
	Exhausted
	// Unavailable means that a dependency does not answer; retry later.
	Unavailable
	// Stale means that the request used an older epoch, fence or incarnation.
	Stale
	// Unknown means that the action may or may not have taken effect.
	Unknown
	// Corrupt means that received data failed a check.
	Corrupt
	// Internal means a fault in this program.
	Internal
)

var kindNames = map[Kind]string{
	Invalid: "invalid", Unauthenticated: "unauthenticated", Forbidden: "forbidden",
	NotFound: "not_found", Conflict: "conflict", Exhausted: "exhausted",
	Unavailable: "unavailable", Stale: "stale", Unknown: "unknown",
	Corrupt: "corrupt", Internal: "internal",
}

// String returns the name of the kind as used on the wire and in logs.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return fmt.Sprintf("kind_%d", uint8(k))
}

// Error is an error with a kind and a remedy.
type Error struct {
	Kind    Kind
	Problem string
	Remedy  string
	cause   error
}

// Error returns the problem, its cause and the remedy in one line.
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

// New returns an error of a kind with a remedy. The problem is a format string.
func New(kind Kind, remedy, problem string, args ...any) error {
	return &Error{Kind: kind, Problem: fmt.Sprintf(problem, args...), Remedy: remedy}
}

// Wrap adds a kind, a problem and a remedy to a cause. A nil cause gives nil.
func Wrap(cause error, kind Kind, remedy, problem string, args ...any) error {
	if cause == nil {
		return nil
	}
	return &Error{Kind: kind, Problem: fmt.Sprintf(problem, args...), Remedy: remedy, cause: cause}
}

// KindOf returns the kind of the outermost Error in the chain, or Internal.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether the error has the kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }
