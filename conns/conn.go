package conns

import (
	"context"
	"fmt"
	"net"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"
)

// conn is an open connection.
type conn struct {
	net.Conn
	client *Client
	to     netip.AddrPort

	// heard is when the other side last said something, or took the connection.
	heard atomic.Pointer[time.Time]

	// proved says that something was heard since it was opened.
	proved atomic.Bool

	// users counts the calls that have the connection; it is guarded by the client's
	// lock. It is above one for the moment between the end of a call's answer and
	// the call's return, in which the next one may have the connection already.
	users int
}

// Close implements net.Conn.
func (n *conn) Close() error {
	n.client.mu.Lock()
	n.client.remove(n)
	n.client.mu.Unlock()
	return n.Conn.Close()
}

// NetConn returns the connection itself, as that of crypto/tls does.
func (n *conn) NetConn() net.Conn {
	return n.Conn
}

// Read implements net.Conn.
func (n *conn) Read(into []byte) (int, error) {
	read, err := n.Conn.Read(into)
	if read > 0 {
		n.hears()
		n.proved.Store(true)
	}
	return read, err
}

// hears notes that the other side has said something.
func (n *conn) hears() {
	now := time.Now()
	n.heard.Store(&now)
}

func (c *Client) dial(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("address %s: %w", address, err)
	}
	opened, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	n := &conn{
		Conn:   opened,
		client: c,
		to:     to,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n.hears()
	if c.open[to] == nil {
		c.open[to] = make(map[*conn]struct{})
	}
	c.open[to][n] = struct{}{}
	return n, nil
}

// drop closes the unused connections to an address over which nothing was heard
// since the given moment. It closes them under the lock, so that a call has one of
// them either before, and keeps it, or after: then nothing can be written to it, and
// net/http takes another.
func (c *Client) drop(to netip.AddrPort, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := range c.open[to] {
		if n.users > 0 || !n.heard.Load().Before(since) {
			continue
		}
		c.remove(n)
		// It is given up: what closing it says changes nothing.
		_ = n.Conn.Close()
	}
}

// remove takes a connection off the list; the caller holds the lock.
func (c *Client) remove(n *conn) {
	delete(c.open[n.to], n)
	if len(c.open[n.to]) == 0 {
		delete(c.open, n.to)
	}
}

// release ends the use of a connection.
func (c *Client) release(u use) {
	if u.conn == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	u.conn.users--
}

// take begins the use of a connection.
func (c *Client) take(info httptrace.GotConnInfo) use {
	n, ours := info.Conn.(*conn)
	if !ours {
		return use{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n.users++
	return use{
		conn:   n,
		proved: n.proved.Load(),
		at:     time.Now(),
	}
}

// unanswered takes in that a call got no answer in its time.
func (c *Client) unanswered(call Call, u use) {
	due := u.at.Add(call.Wait)
	if u.proved && time.Since(due) >= leastWait {
		c.drop(call.To, due)
	}
}
