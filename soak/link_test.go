package soak_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lemonstream.dev/lemonstream/kernel"
)

const (
	// linkDelay is what a slow link adds to each piece of data.
	linkDelay = 80 * time.Millisecond

	// linkLate is how late data arrives on a link that holds up what is sent: its
	// sender has given up by then.
	linkLate = 1500 * time.Millisecond

	// linkPiece is the most data that is passed on at a time, in bytes.
	linkPiece = 16 << 10
)

// Faults of a link.
const (
	linkPasses linkFault = iota
	linkIsSlow

	// linkHoldsUp lets what is sent arrive late, also when its sender has left.
	linkHoldsUp

	// linkIsMute drops the answers: it is cut in one direction.
	linkIsMute

	// linkIsSilent drops both directions, linkResets resets every connection.
	linkIsSilent
	linkResets

	// linkSilencesOpen drops both directions of the connections that are open when it
	// is put in force, for good, while new ones work.
	linkSilencesOpen

	linkFaults

	// linkSilencesNew drops both directions of the connections that are opened while it is in
	// force, for good, while older ones work: whoever comes to own a service does not reach the
	// worker, and the owner before it does.
	linkSilencesNew
)

type linkFault int

// link is a loopback proxy for the connections to one server.
type link struct {
	target   string
	listener net.Listener
	group    *kernel.Group

	mu    sync.Mutex
	fault linkFault

	// conns holds both ends of each connection, and whether it has gone silent for
	// good.
	conns map[net.Conn]*atomic.Bool
}

// newLink starts a proxy in front of a server, until the test ends.
func newLink(t *testing.T, group *kernel.Group, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{
		target:   target,
		listener: listener,
		group:    group,
		conns:    make(map[net.Conn]*atomic.Bool),
	}
	group.Go("link to "+target, l.serve)
	t.Cleanup(func() {
		_ = listener.Close()
		l.closeAll()
	})
	return l
}

func (l *link) address() string {
	return l.listener.Addr().String()
}

// set puts a fault in force; linkPasses mends the link.
func (l *link) set(fault linkFault) {
	l.mu.Lock()
	l.fault = fault
	l.mu.Unlock()
	switch fault {
	case linkResets:
		l.closeAll()
	case linkSilencesOpen:
		l.silenceOpen()
	default:
	}
}

func (l *link) current() linkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

func (l *link) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		reset(conn)
	}
}

func (l *link) silenceOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, silent := range l.conns {
		silent.Store(true)
	}
}

// reset closes a connection so that its peer is told at once.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (l *link) serve(context.Context) error {
	for {
		caller, err := l.listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // The listener is closed when the test ends.
		}
		server, err := net.Dial("tcp4", l.target)
		if err != nil || l.current() == linkResets {
			reset(caller)
			continue
		}
		silent := new(atomic.Bool)
		silent.Store(l.current() == linkSilencesNew)
		l.mu.Lock()
		l.conns[caller] = silent
		l.conns[server] = silent
		l.mu.Unlock()
		l.group.Go("up", func(context.Context) error { return l.pass(server, caller, silent, true) })
		l.group.Go("down", func(context.Context) error { return l.pass(caller, server, silent, false) })
	}
}

// pass copies one direction until it ends, or drops what comes once the connection
// is silent; up is the direction of the requests.
func (l *link) pass(to, from net.Conn, silent *atomic.Bool, up bool) error {
	defer l.end(to, from, up)
	piece := make([]byte, linkPiece)
	for {
		n, err := from.Read(piece)
		if n > 0 && l.treat(up) && !silent.Load() {
			if _, err := to.Write(piece[:n]); err != nil {
				return nil //nolint:nilerr // The other side has closed.
			}
		}
		if err != nil {
			return nil //nolint:nilerr // This side has closed.
		}
	}
}

// end closes what is left of a connection. What a sender left behind was passed on.
func (l *link) end(to, from net.Conn, _ bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range []net.Conn{to, from} {
		delete(l.conns, conn)
		_ = conn.Close()
	}
}

// treat applies the fault to one piece of data; it reports false where it is
// dropped.
func (l *link) treat(up bool) bool {
	switch l.current() {
	case linkIsSlow:
		time.Sleep(linkDelay)
	case linkHoldsUp:
		if up {
			time.Sleep(linkLate)
		}
	case linkIsMute:
		return up
	case linkIsSilent:
		return false
	default:
	}
	return true
}
