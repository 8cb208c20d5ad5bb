//go:build !linux

package conns

import "net"

// setReceiveBuffer does nothing: elsewhere the system's own bound holds.
func setReceiveBuffer(_ net.Listener, _ int) error {
	return nil
}
