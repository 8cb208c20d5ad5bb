//go:build !linux

package conns

import "syscall"

// control does nothing: only Linux lets a program bound unconfirmed data, and the
// calls' own bounds hold everywhere.
func control(_, _ string, _ syscall.RawConn) error {
	return nil
}
