package conns

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// noPlace is the place of a connection that may not be closed to make room.
	noPlace = -1

	// headRefusal is the answer to a head over its limit.
	headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

	// lingerBytes and lingerTime bound what is still read of a caller after a refusal, so that the
	// answer arrives: the system resets a connection that is closed with unread data.
	lingerBytes = 64 << 10
	lingerTime  = 500 * time.Millisecond
)

// heldConn is a connection whose bound knows what it holds.
type heldConn struct {
	net.Conn
	bound *Bound

	// The bound's lock guards all of the below.

	// counted says that the connection is in the bound's sums.
	counted bool

	// held is what it holds, in bytes, as it is reckoned; at least 0.
	held int64

	// since is when the request began to arrive, or since when the connection is idle.
	since time.Time

	// place is that in the bound's heap, or noPlace.
	place int

	// idle says that nothing of the next request has arrived, working that a handler has the request.
	idle    bool
	working bool

	// awaiting says that the handler waits for more of the body. body is how much has arrived.
	awaiting bool
	body     int64
	head     head

	// discarding says that what is left of the body is read and not kept.
	discarding bool
}

// heldKey is the key of a heldConn in the contexts of its requests.
type heldKey struct{}

// headRefusedError reports a head over its limit.
type headRefusedError struct {
	reason string
}

// Error implements error.
func (e *headRefusedError) Error() string {
	return "the head of a request is refused: " + e.reason
}

// Close implements net.Conn.
func (c *heldConn) Close() error {
	c.bound.release(c)
	return c.Conn.Close()
}

// Read implements net.Conn. It fails for a head over its limit.
func (c *heldConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n == 0 {
		return n, err
	}
	if fault := c.took(into[:n]); fault != "" {
		c.bound.note(fault)
		c.refuse()
		// net/http answers any other error of a connection by itself.
		return 0, &net.OpError{
			Op:  "read",
			Net: "tcp",
			Err: &headRefusedError{
				reason: fault,
			},
		}
	}
	return n, err
}

// took accounts for bytes that have arrived. It returns the reason for which the head that they
// belong to is refused; empty for none.
func (c *heldConn) took(arrived []byte) string {
	b := c.bound
	b.mu.Lock()
	fault := ""
	switch {
	case c.awaiting && !c.discarding:
		before := c.bodyCost()
		c.body += int64(len(arrived))
		b.charge(c, c.bodyCost()-before)
	case !c.working:
		fault = c.tookHead(arrived)
	}
	closing, reason := b.makeRoom()
	b.mu.Unlock()
	b.end(closing, reason)
	return fault
}

// tookHead accounts for bytes that arrive before a handler has the request.
func (c *heldConn) tookHead(arrived []byte) string {
	b := c.bound
	if c.idle {
		c.idle = false
		b.unlist(c)
		c.since = b.options.Now()
		b.list(c)
	}
	before := c.headCost()
	c.head.add(arrived)
	b.charge(c, c.headCost()-before)
	return b.headFault(c.head)
}

func (c *heldConn) bodyCost() int64 {
	held := c.body
	if most := c.bound.options.BodyHeld; most > 0 {
		held = min(held, most)
	}
	return textFactor * held
}

func (c *heldConn) headCost() int64 {
	return int64(textFactor*c.head.bytes + lineBytes*c.head.lines)
}

// refuse answers a head over its limit and gives the caller a moment to read that.
func (c *heldConn) refuse() {
	// These fail only at a connection that is closed, or whose caller has left.
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.Conn, headRefusal); err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// begin notes that a handler has the request: it is not cut from here on.
func (c *heldConn) begin() {
	b := c.bound
	b.mu.Lock()
	defer b.mu.Unlock()
	c.working = true
	c.idle = false
	b.unlist(c)
}

// await notes whether the handler waits for more of the body, which the caller owes: meanwhile the
// connection may be closed to make room.
func (c *heldConn) await(awaiting bool) {
	b := c.bound
	b.mu.Lock()
	c.awaiting = awaiting
	if awaiting {
		b.list(c)
	} else {
		b.unlist(c)
	}
	closing, reason := b.makeRoom()
	b.mu.Unlock()
	b.end(closing, reason)
}

// discard notes that the handler holds nothing of the body any more.
func (c *heldConn) discard() {
	b := c.bound
	b.mu.Lock()
	defer b.mu.Unlock()
	b.charge(c, -c.bodyCost())
	c.body = 0
	c.discarding = true
}

// finish notes that a request is answered and the connection is idle.
func (c *heldConn) finish() {
	b := c.bound
	b.mu.Lock()
	b.charge(c, -c.bodyCost()-c.headCost())
	c.body = 0
	c.head = head{}
	c.working = false
	c.awaiting = false
	c.discarding = false
	c.idle = true
	c.since = b.options.Now()
	b.list(c)
	closing, reason := b.makeRoom()
	b.mu.Unlock()
	b.end(closing, reason)
}

// noteState returns a hook that notes when a connection is idle, and calls next.
func noteState(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(n net.Conn, state http.ConnState) {
		if c, held := n.(*heldConn); held && state == http.StateIdle {
			c.finish()
		}
		if next != nil {
			next(n, state)
		}
	}
}

// holdConn returns a hook that puts a connection into the contexts of its requests, and calls next.
func holdConn(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, n net.Conn) context.Context {
		if c, held := n.(*heldConn); held {
			ctx = context.WithValue(ctx, heldKey{}, c)
			n = c.Conn
		}
		if next != nil {
			ctx = next(ctx, n)
		}
		return ctx
	}
}
