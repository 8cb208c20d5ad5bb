package conns

import (
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// setReceiveBuffer sets the size of the system's receive buffer, in bytes, for the connections that
// a listener accepts; they have it from the listener.
func setReceiveBuffer(listener net.Listener, size int) error {
	system, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return fmt.Errorf("reaching the listener's socket: %w", err)
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	})
	if err == nil {
		err = failure
	}
	if err != nil {
		return fmt.Errorf("bounding the receive buffer: %w", err)
	}
	return nil
}
