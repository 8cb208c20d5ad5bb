package conns

import "net"

// headerBytes is what the headers of a request, or of an answer, take on the wire, and
// the system's own around them: reckoned for the small messages between entries, the
// store and workers.
const headerBytes = 250

// Meter takes in the bytes that a call or a connection put on the link. It has to be
// quick and may be called by many goroutines; nil counts nothing.
type Meter func(purpose string, sent, received int)

// count takes in bytes where anybody counts them.
func (m Meter) count(purpose string, sent, received int) {
	if m != nil {
		m(purpose, sent, received)
	}
}

// meteredConn counts what passes a connection.
type meteredConn struct {
	net.Conn
	meter   Meter
	purpose string
}

// Read implements net.Conn.
func (c *meteredConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.meter.count(c.purpose, 0, n)
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	c.meter.count(c.purpose, n, 0)
	return n, err
}
