// Package conns keeps connections to other processes and bounds the harm of
// those that went silent: an open connection may say nothing any more, without a
// reset, while new ones to the same address work. Nobody tells so; it shows only
// in that an answer does not come.
//
// Three bounds hold. The system ends a connection whose data the other side does
// not confirm; see options. Once a connection that had worked leaves a call
// without an answer, every unused one of the same address that has said nothing
// since the answer was due is closed, so that one silent moment costs one such wait
// and not one for each connection kept. And a call that may be made twice is sent
// a second time over another connection at half of its time, without giving up
// the first.
package conns

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"time"
)

// leastWait is how long a call must have waited to count as one without an
// answer: many times the 1 to 9 ms of a usual one. What its caller gives up
// sooner says nothing about its connection.
const leastWait = 100 * time.Millisecond

// noUserAgent keeps net/http from writing the header.
var noUserAgent = []string{""}

// Answer is what came back of a call.
type Answer struct {
	Status int
	Body   []byte

	// Took is how long the try took that was answered.
	Took time.Duration
}

// Call is one request.
type Call struct {
	Method string
	To     netip.AddrPort

	// Target is the path, with its query.
	Target string
	Header http.Header
	Body   []byte

	// Purpose names the call for the meter.
	Purpose string

	// Urgent calls get a connection before all others, see Limits.Reserved.
	Urgent bool

	// Second is what is sent where the call is made a second time. It is nil for a
	// call that may not be made twice: nothing of that is ever sent again once any of
	// it may have left this process.
	Second *Second

	// Within bounds the whole call. Wait is the part of it for which the other
	// side may hold its answer.
	Within time.Duration
	Wait   time.Duration
}

// Client makes calls over connections that it keeps.
type Client struct {
	pool *pool

	// mostAnswer bounds an answer, in bytes.
	mostAnswer int64

	meter Meter

	// budget bounds second tries and connections that are given up.
	budget *budget
}

// Limits are those of a client.
type Limits struct {
	// PerAddress is the most connections to one address, Kept the most unused ones.
	PerAddress int
	Kept       int

	// Reserved is how many of the connections to one address only urgent calls may use.
	Reserved int

	// Dial bounds the opening of a connection.
	Dial time.Duration

	// Idle is how long an unused connection is kept.
	Idle time.Duration

	// Answer is the most bytes of an answer that are read.
	Answer int64

	// Meter counts the bytes of calls; nil counts nothing.
	Meter Meter
}

// Second is the second form of a call that may be made twice: it reads, or having
// been done twice is the same as having been done once.
type Second struct {
	// Target and Body ask the other side to answer without holding its answer: the
	// time for that is over by then.
	Target string
	Body   []byte
}

// use tells of the connection that a call got.
type use struct {
	// proved says that the connection had worked before; at is when the call got it.
	proved bool
	at     time.Time
}

// NewClient returns a client without connections.
func NewClient(limits Limits) *Client {
	return &Client{
		pool:       newPool(limits),
		mostAnswer: limits.Answer,
		meter:      limits.Meter,
		budget:     newBudget(),
	}
}

// Do makes a call and returns the answer. Its error wraps that of the connection, or of the
// context where that has ended.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Within)
	defer cancel()
	call.Header = withoutAgent(call.Header)
	if call.Second == nil {
		return c.send(ctx, call, func(use) {})
	}
	return c.sendTwice(ctx, call)
}

// withoutAgent returns a header with which net/http names no agent: nobody reads that, and it
// is a tenth of a small call's bytes.
func withoutAgent(header http.Header) http.Header {
	own := make(http.Header, len(header)+1)
	maps.Copy(own, header)
	own["User-Agent"] = noUserAgent
	return own
}

// send makes one try of a call. It tells got of the connection that it uses.
func (c *Client) send(ctx context.Context, call Call, got func(use)) (Answer, error) {
	began := time.Now()
	n, err := c.pool.get(ctx, call.To, call.Urgent)
	if err != nil {
		return Answer{}, fmt.Errorf("calling %s at %s: %w", call.Target, call.To, err)
	}
	u := use{
		proved: n.proved,
		at:     time.Now(),
	}
	got(u)
	trace(ctx, n)
	c.meter.count(call.Purpose, len(call.Body)+headerBytes, 0)
	answer, reusable, err := n.exchange(ctx, call, c.mostAnswer)
	answer.Took = time.Since(began)
	if reusable {
		c.pool.put(n)
	} else {
		c.pool.discard(n)
	}
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.unanswered(call, u)
		}
		return Answer{}, fmt.Errorf("calling %s at %s: %w", call.Target, call.To, err)
	}
	c.meter.count(call.Purpose, 0, len(answer.Body)+headerBytes)
	c.budget.earn()
	return answer, nil
}

// unanswered takes in that a call got no answer in its time.
func (c *Client) unanswered(call Call, u use) {
	due := u.at.Add(call.Wait)
	if u.proved && time.Since(due) >= leastWait {
		c.pool.drop(call.To, due)
	}
}

// trace tells a trace of net/http, where the context has one, of the connection.
func trace(ctx context.Context, n *conn) {
	if t := httptrace.ContextClientTrace(ctx); t != nil && t.GotConn != nil {
		t.GotConn(httptrace.GotConnInfo{
			Conn:   n,
			Reused: n.proved,
		})
	}
}
