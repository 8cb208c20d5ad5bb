package conns

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// control sets how long the system waits for data to be confirmed; see unconfirmed.
func control(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unconfirmed.Milliseconds()))
	})
	if err == nil {
		err = failure
	}
	if err != nil {
		return fmt.Errorf("bounding unconfirmed data: %w", err)
	}
	return nil
}
