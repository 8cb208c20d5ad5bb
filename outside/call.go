package outside

import (
	"errors"
	"net/http"
	"syscall"
)

// CallError tells a call that no process listened to, which is a *NotDoneError, from
// one that may have arrived, which is an *UncertainError.
func CallError(call string, err error) error {
	// Only a connection that was never made is refused.
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

// IsTurnedAway reports whether the other side said that it serves nothing at the moment. One
// that is busy with what it was asked before says something else.
func IsTurnedAway(err error) bool {
	var refused *NotDoneError
	return errors.As(err, &refused) && refused.Status == http.StatusServiceUnavailable
}
