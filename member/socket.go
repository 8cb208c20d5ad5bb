package member

import (
	"net"
	"sync/atomic"
)

// datagramHeaders are the bytes of the IPv4 and UDP headers of a datagram.
const datagramHeaders = 28

// countingSocket counts the bytes that go out to peers.
type countingSocket struct {
	*net.UDPConn

	// sent is in bytes, with the headers of UDP and IP.
	sent atomic.Int64
}

// WriteMsgUDP is how quic-go sends.
func (s *countingSocket) WriteMsgUDP(body, oob []byte, to *net.UDPAddr) (n, oobn int, err error) {
	s.sent.Add(int64(len(body) + datagramHeaders))
	return s.UDPConn.WriteMsgUDP(body, oob, to)
}

// WriteTo implements net.PacketConn.
func (s *countingSocket) WriteTo(body []byte, to net.Addr) (int, error) {
	s.sent.Add(int64(len(body) + datagramHeaders))
	return s.UDPConn.WriteTo(body, to)
}
