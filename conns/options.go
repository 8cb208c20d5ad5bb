package conns

import (
	"net"
	"time"
)

const (
	// unconfirmed is how long the system repeats data that the other side does not
	// confirm, before it ends the connection (TCP_USER_TIMEOUT). Zones are 1 ms
	// apart and Linux repeats after 200 ms for the first time, so that one or two
	// packets may be lost. A process that is slow or hangs confirms all the same.
	unconfirmed = 500 * time.Millisecond

	// probeAfter is how long a connection is quiet before the system asks whether
	// the other side still knows it, probeEach the time between two such probes and
	// probes how many get no answer before it ends the connection. No call waits
	// for longer without a word but that for changes of the list of entries.
	probeAfter = 3 * time.Second
	probeEach  = time.Second
	probes     = 2
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     probeAfter,
		Interval: probeEach,
		Count:    probes,
	}
}
