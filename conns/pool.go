package conns

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// sweepPause is the time between two looks for unused connections that the other side has
// closed: until they are closed here as well, each holds a descriptor.
const sweepPause = 5 * time.Second

// host holds the connections to one address.
type host struct {
	// idle are the unused ones, that which was used last at the end.
	idle []*conn

	// count is how many are open or being opened, at most Limits.PerAddress. ordinary is how many of
	// them calls have that are not urgent, at most Limits.PerAddress without Limits.Reserved.
	count    int
	ordinary int

	// urgent and waiters are the calls that wait for a connection, in order, those that are urgent and
	// all others. Each gets one, or nil where it may open one.
	urgent  []chan *conn
	waiters []chan *conn
}

// pool keeps connections by their address.
type pool struct {
	limits Limits
	dialer *net.Dialer

	mu      sync.Mutex
	hosts   map[netip.AddrPort]*host
	sweptAt time.Time
}

func newPool(limits Limits) *pool {
	return &pool{
		limits: limits,
		dialer: &net.Dialer{
			Timeout:         limits.Dial,
			KeepAliveConfig: keepAlive(),
			Control:         control,
		},
		hosts:   make(map[netip.AddrPort]*host),
		sweptAt: time.Now(),
	}
}

// get returns a connection for one call. It waits while as many are in use as may be.
func (p *pool) get(ctx context.Context, to netip.AddrPort, urgent bool) (*conn, error) {
	for {
		n, wait := p.reserve(to, urgent)
		switch {
		case wait != nil:
			select {
			case n = <-wait:
			case <-ctx.Done():
				p.leave(to, wait)
				return nil, ctx.Err()
			}
			if n == nil {
				continue
			}
		case n == nil:
			return p.open(ctx, to, urgent)
		}
		if n.isOpen() {
			return n, nil
		}
		p.discard(n)
	}
}

// reserve returns an unused connection, or a channel to wait at for one. Where it returns
// neither, the caller has to open one.
func (p *pool) reserve(to netip.AddrPort, urgent bool) (*conn, chan *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[to]
	if h == nil {
		h = &host{}
		p.hosts[to] = h
	}
	if urgent || p.allowsOrdinary(h) {
		if last := len(h.idle) - 1; last >= 0 {
			n := h.idle[last]
			h.idle = h.idle[:last]
			h.give(n, urgent)
			return n, nil
		}
		if h.count < p.limits.PerAddress {
			h.count++
			h.ordinary += ordinary(urgent)
			return nil, nil
		}
	}
	wait := make(chan *conn, 1)
	if urgent {
		h.urgent = append(h.urgent, wait)
	} else {
		h.waiters = append(h.waiters, wait)
	}
	return nil, wait
}

// allowsOrdinary reports whether one more call that is not urgent may have a connection.
func (p *pool) allowsOrdinary(h *host) bool {
	return h.ordinary < max(1, p.limits.PerAddress-p.limits.Reserved)
}

// ordinary returns what a call adds to host.ordinary.
func ordinary(urgent bool) int {
	if urgent {
		return 0
	}
	return 1
}

// give hands a connection to a call, takeBack takes it from the call that has it.
func (h *host) give(n *conn, urgent bool) {
	n.urgent = urgent
	h.ordinary += ordinary(urgent)
}

func (h *host) takeBack(n *conn) {
	h.ordinary -= ordinary(n.urgent)
	n.urgent = true
}

// open opens a connection that was reserved.
func (p *pool) open(ctx context.Context, to netip.AddrPort, urgent bool) (*conn, error) {
	opened, err := p.dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		p.free(to, urgent)
		return nil, err
	}
	n, err := newConn(opened, to)
	if err != nil {
		_ = opened.Close()
		p.free(to, urgent)
		return nil, err
	}
	n.urgent = urgent
	return n, nil
}

// leave ends a wait. A connection that was handed over meanwhile goes to the next.
func (p *pool) leave(to netip.AddrPort, wait chan *conn) {
	p.mu.Lock()
	// Whoever was told to open a connection is no waiter any more, and the host may be gone.
	if h := p.hosts[to]; h != nil {
		isWait := func(other chan *conn) bool { return other == wait }
		h.urgent = slices.DeleteFunc(h.urgent, isWait)
		h.waiters = slices.DeleteFunc(h.waiters, isWait)
	}
	p.mu.Unlock()
	select {
	case n := <-wait:
		if n == nil {
			p.wake(to)
			return
		}
		p.put(n)
	default:
	}
}

// put takes back a connection that may be used again.
func (p *pool) put(n *conn) {
	p.mu.Lock()
	h := p.hosts[n.to]
	n.unusedSince = time.Now()
	h.takeBack(n)
	handed := true
	if wait, urgent := p.next(h); wait != nil {
		h.give(n, urgent)
		wait <- n
	} else if handed = len(h.idle) < p.limits.Kept; handed {
		h.idle = append(h.idle, n)
	}
	stale := p.sweep(n.unusedSince)
	p.mu.Unlock()
	if !handed {
		p.discard(n)
	}
	for _, old := range stale {
		p.discard(old)
	}
}

// next returns the first call that may have a connection, which waits no more, and whether it is urgent;
// nil for none.
func (p *pool) next(h *host) (chan *conn, bool) {
	switch {
	case len(h.urgent) > 0:
		first := h.urgent[0]
		h.urgent = h.urgent[1:]
		return first, true
	case len(h.waiters) > 0 && p.allowsOrdinary(h):
		first := h.waiters[0]
		h.waiters = h.waiters[1:]
		return first, false
	default:
		return nil, false
	}
}

// discard closes a connection that is in no list.
func (p *pool) discard(n *conn) {
	// It is given up: what closing it says changes nothing.
	_ = n.Close()
	p.free(n.to, n.urgent)
}

// free lets another connection be opened in the place of one that is closed. urgent says that no call
// that is not urgent had it.
func (p *pool) free(to netip.AddrPort, urgent bool) {
	p.mu.Lock()
	h := p.hosts[to]
	h.count--
	h.ordinary -= ordinary(urgent)
	if h.count == 0 && len(h.waiters) == 0 && len(h.urgent) == 0 {
		delete(p.hosts, to)
	}
	p.mu.Unlock()
	p.wake(to)
}

// wake lets the first call that waits open a connection.
func (p *pool) wake(to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[to]
	if h == nil || h.count >= p.limits.PerAddress {
		return
	}
	if wait, _ := p.next(h); wait != nil {
		wait <- nil
	}
}

// drop closes the unused connections to an address over which nothing was heard since the
// given moment.
func (p *pool) drop(to netip.AddrPort, since time.Time) {
	p.mu.Lock()
	var silent []*conn
	if h := p.hosts[to]; h != nil {
		h.idle, silent = split(h.idle, func(n *conn) bool { return !n.heard.Before(since) })
	}
	p.mu.Unlock()
	for _, n := range silent {
		p.discard(n)
	}
}

// sweep takes out the unused connections that are too old or closed by the other side, if it
// is time; the caller holds the lock.
func (p *pool) sweep(now time.Time) []*conn {
	if now.Sub(p.sweptAt) < sweepPause {
		return nil
	}
	p.sweptAt = now
	var stale []*conn
	for _, h := range p.hosts {
		var old []*conn
		h.idle, old = split(h.idle, func(n *conn) bool {
			unused := now.Sub(n.unusedSince)
			return unused < sweepPause || (unused < p.limits.Idle && n.isOpen())
		})
		stale = append(stale, old...)
	}
	return stale
}

// split parts connections into those that are kept and the others.
func split(list []*conn, keep func(*conn) bool) (kept, others []*conn) {
	for _, n := range list {
		if keep(n) {
			kept = append(kept, n)
		} else {
			others = append(others, n)
		}
	}
	return kept, others
}
