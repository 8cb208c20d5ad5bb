package store

import (
	"errors"
	"fmt"
)

// ConflictError reports a transaction whose check did not hold. The
// transaction did not take effect.
type ConflictError struct {
	Key string

	// Want is the version the check named, Have the row's version.
	Want int64
	Have int64

	// Op is the operation that wrote the row last.
	Op string
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct {
	Key string
}

// RefusedError reports a call that the platform will never accept.
type RefusedError struct {
	Call   string
	Reason string
}

// UnavailableError reports a call without an answer. A write may have taken
// effect, may still do so, or may not.
type UnavailableError struct {
	Call  string
	Cause error
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s is at version %d, not %d: read it again and decide anew", e.Key, e.Have, e.Want)
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s does not exist", e.Key)
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("platform refused %s: %s", e.Call, e.Reason)
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform did not answer %s: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// IsUnavailable reports whether err says that the platform gave no answer.
func IsUnavailable(err error) bool {
	var unavailable *UnavailableError
	return errors.As(err, &unavailable)
}
