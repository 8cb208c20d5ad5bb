package outside

import (
	"errors"
	"net/http"
	"syscall"
)

// CallError wraps the error of a failed call. It returns a *NotDoneError if no process was
// listening at the address, and an *UncertainError if the call may have arrived.
func CallError(call string, err error) error {
	// A refused connection was never established, so the call cannot have arrived.
	if errors.Is(err, syscall.ECONNREFUSED) {
		return &NotDoneError{
			Call:   call,
			Reason: err.Error(),
		}
	}
	return &UncertainError{
		Call:  call,
		Cause: err,
	}
}

// IsUnavailable reports whether the other side answered with status 503, which means that it
// serves no calls at the moment. A server that is busy with earlier calls answers with another
// status.
func IsUnavailable(err error) bool {
	var refused *NotDoneError
	return errors.As(err, &refused) && refused.Status == http.StatusServiceUnavailable
}
