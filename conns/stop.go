package conns

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Settle is for how long a stopping server waits for requests that were sent and
	// not read: net/http ends their connections. It is above twice the 200 ms that a
	// caller's request may be under way.
	Settle = (acceptLooks + readLooks) * settleLook

	// settleLook, acceptLooks and readLooks are the parts of Settle: while connections
	// are accepted, and after that. A process that waits for its processor counts one
	// look, however long it waits, and so has the others left.
	settleLook  = 50 * time.Millisecond
	acceptLooks = 7
	readLooks   = 3

	// drainLook is how long an empty queue is watched for a connection before its
	// listener closes. Whatever stands in it is there at once.
	drainLook = 20 * time.Millisecond

	// drainLooks is how many looks in succession find nothing. A process that waited
	// for its processor finds the time of one over while a connection stands there.
	drainLooks = 2

	// drainMost bounds the emptying of a queue into which connections keep coming.
	drainMost = 500 * time.Millisecond
)

// Server is a server of net/http that stops without ending a connection over which a
// whole request was sent. net/http itself closes those that are not accepted, and those
// of which it has not read the headers yet.
type Server struct {
	*http.Server

	// listener is what the server serves; nil before that.
	listener atomic.Pointer[boundedListener]

	// stopping says that each answer is the last one on its connection.
	stopping atomic.Bool
}

// boundedListener accepts bounded connections.
type boundedListener struct {
	net.Listener

	// quiet is 0 where writing isn't bounded.
	quiet time.Duration

	// meter is nil where nothing is counted.
	meter   Meter
	purpose string

	// bound is nil where nothing is bounded.
	bound *Bound

	// places holds an entry for each open connection; it is nil without a limit. lifted
	// is closed once the limit holds no more.
	places chan struct{}
	lifted chan struct{}
	lift   sync.Once

	// draining says that what waits to be accepted is still taken, and nothing else;
	// drained is closed once nothing waits.
	draining atomic.Bool
	drained  chan struct{}
	empty    sync.Once

	// closed is closed once nobody is to accept any more.
	closed chan struct{}
	once   sync.Once
}

// deadliner is a listener whose Accept can be bounded, as that of TCP.
type deadliner interface {
	SetDeadline(at time.Time) error
}

// Stoppable makes a server stop as Server says. It must not serve yet.
func Stoppable(server *http.Server) *Server {
	s := &Server{
		Server: server,
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	server.ConnContext = markSurplus
	return s
}

// setBound has a bound count the connections; nil bounds nothing.
func (l *boundedListener) setBound(bound *Bound) {
	l.bound = bound
	if bound == nil || bound.options.ReceiveBuffer == 0 {
		return
	}
	if err := setReceiveBuffer(l.Listener, bound.options.ReceiveBuffer); err != nil && bound.options.Log != nil {
		// The bound holds all the same; what arrives unread is then bounded by the system.
		bound.options.Log.Warn("receive buffer not set", "listener", bound.options.Name, "error", err)
	}
}

// newListener returns a listener without a limit.
func newListener(listener net.Listener, quiet time.Duration) *boundedListener {
	return &boundedListener{
		Listener: listener,
		quiet:    quiet,
		lifted:   make(chan struct{}),
		drained:  make(chan struct{}),
		closed:   make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil && l.draining.Load() {
			accepted, err = l.acceptLeft()
		}
		if err != nil {
			return nil, err
		}
		if served, admitted := l.hold(l.wrap(accepted, l.takePlace())); admitted {
			return served, nil
		}
	}
}

// Close implements net.Listener.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	err := l.Listener.Close()
	if l.draining.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// acceptLeft accepts what waits in the queue. Once nothing does, it waits for the end:
// a server whose listener fails before it is told to stop reports that.
func (l *boundedListener) acceptLeft() (net.Conn, error) {
	for range drainLooks {
		if bounded, ok := l.Listener.(deadliner); ok {
			// It fails only at a listener that is closed, and so does Accept.
			_ = bounded.SetDeadline(time.Now().Add(drainLook))
		}
		if accepted, err := l.Listener.Accept(); err == nil {
			return accepted, nil
		}
	}
	l.empty.Do(func() { close(l.drained) })
	<-l.closed
	return nil, net.ErrClosed
}

// drain has all accepted that waits in the queue, and closes the listener itself: the
// system resets what waits then. A listener whose Accept can't be bounded is left as it
// is.
func (l *boundedListener) drain(ctx context.Context) {
	bounded, ok := l.Listener.(deadliner)
	if !ok {
		return
	}
	l.draining.Store(true)
	// It fails only at a listener that is closed, and so does Accept.
	_ = bounded.SetDeadline(time.Now())
	most := time.NewTimer(drainMost)
	defer most.Stop()
	select {
	case <-ctx.Done():
	case <-l.drained:
	case <-most.C:
	}
	// Its error is that of a listener that is closed.
	_ = l.Listener.Close()
}

// Serve serves a listener of Listen or Limit, until Shutdown or Close.
func (s *Server) Serve(listener net.Listener) error {
	if bounded, ok := listener.(*boundedListener); ok {
		s.listener.Store(bounded)
	}
	return s.Server.Serve(listener)
}

// Shutdown answers every request that was sent to the server, also those that it has
// neither accepted nor read, and closes its connections. It ends with ctx at the latest.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	listener := s.listener.Load()
	if listener != nil {
		listener.liftLimit()
	}
	settle(ctx, acceptLooks)
	if listener != nil {
		listener.drain(ctx)
	}
	settle(ctx, readLooks)
	return s.Server.Shutdown(ctx)
}

// settle gives the connections time to read what was sent.
func settle(ctx context.Context, looks int) {
	look := time.NewTicker(settleLook)
	defer look.Stop()
	for range looks {
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		}
	}
}
