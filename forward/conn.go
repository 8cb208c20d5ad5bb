package forward

import (
	"net"
	"sync/atomic"
)

// countingConn counts the bytes that may have reached the endpoint.
type countingConn struct {
	net.Conn

	// written counts bytes handed to the socket; it grows before the write,
	// so that a byte that may have left is never missed.
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}
