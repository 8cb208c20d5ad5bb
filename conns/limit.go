package conns

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// placeConn is a connection that holds a place.
type placeConn struct {
	net.Conn
	once sync.Once
	free func()
}

// surplusConn is a connection without a place, accepted at a stop.
type surplusConn struct {
	net.Conn
}

// surplusKey is the key in the context of requests over a surplusConn.
type surplusKey struct{}

// Limit bounds how many connections of a listener are served at one time; others wait until one
// ends, or the bound can close one to make room. Once a Server that serves it stops, those that
// wait are served as well for the short time until the listener closes: see Surplus. bound may
// be nil.
func Limit(listener net.Listener, most int, bound *Bound) net.Listener {
	l := newListener(listener, 0)
	l.places = make(chan struct{}, most)
	l.setBound(bound)
	return l
}

// Surplus reports whether a request came over a connection beyond the limit, that was
// accepted since the server stops: it is to be refused.
func Surplus(r *http.Request) bool {
	return r.Context().Value(surplusKey{}) != nil
}

// Close implements net.Conn.
func (c *placeConn) Close() error {
	defer c.once.Do(c.free)
	return c.Conn.Close()
}

// freePlace gives a place back.
func (l *boundedListener) freePlace() {
	<-l.places
}

// liftLimit has connections accepted that wait for a place.
func (l *boundedListener) liftLimit() {
	l.lift.Do(func() { close(l.lifted) })
}

// takePlace waits for a place; it reports whether it took one.
func (l *boundedListener) takePlace() bool {
	if l.places == nil {
		return false
	}
	select {
	case l.places <- struct{}{}:
		return true
	default:
	}
	if l.bound != nil {
		l.bound.want(true)
		defer l.bound.want(false)
	}
	select {
	case l.places <- struct{}{}:
		return true
	case <-l.lifted:
	case <-l.closed:
	}
	return false
}

// hold has the listener's bound count a connection. It returns false where there is no room for
// it; it is closed then.
func (l *boundedListener) hold(accepted net.Conn) (net.Conn, bool) {
	if l.bound == nil {
		return accepted, true
	}
	c := &heldConn{
		Conn:  accepted,
		bound: l.bound,
		place: noPlace,
		idle:  true,
	}
	return c, l.bound.admit(c)
}

// wrap bounds a connection as the listener says.
func (l *boundedListener) wrap(accepted net.Conn, placed bool) net.Conn {
	if l.meter != nil {
		accepted = &meteredConn{
			Conn:    accepted,
			meter:   l.meter,
			purpose: l.purpose,
		}
	}
	if l.quiet > 0 {
		accepted = &boundedConn{
			Conn:  accepted,
			quiet: l.quiet,
		}
	}
	switch {
	case l.places == nil:
		return accepted
	case placed:
		return &placeConn{
			Conn: accepted,
			free: l.freePlace,
		}
	default:
		return &surplusConn{
			Conn: accepted,
		}
	}
}

// markSurplus notes in the context of a connection that it has no place.
func markSurplus(ctx context.Context, accepted net.Conn) context.Context {
	if _, surplus := accepted.(*surplusConn); surplus {
		return context.WithValue(ctx, surplusKey{}, true)
	}
	return ctx
}
