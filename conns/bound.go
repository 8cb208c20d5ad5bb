package conns

import (
	"container/heap"
	"log/slog"
	"net/http"
	"sync"
	"time"
)

const (
	// ConnBytes is what an open connection is reckoned to hold: its goroutine, the buffers of
	// net/http and what the system keeps of it.
	ConnBytes = 24 << 10

	// lineBytes is what a header line is reckoned to hold beside its text: net/textproto keeps
	// some 200 bytes for each entry of a header.
	lineBytes = 200

	// textFactor is how many times over the text of a head or a body is reckoned: it is held as it
	// arrived and once more as what was read from it.
	textFactor = 2

	// reportPause is the shortest time between two log lines about a bound.
	reportPause = 5 * time.Second
)

// Reasons for which a bound refuses or closes something, as counted.
const (
	reasonBodyBytes   = "body_too_large"
	reasonConnections = "too_many_connections"
	reasonHeaderBytes = "header_too_large"
	reasonHeaderLines = "too_many_header_lines"
	reasonMemory      = "too_much_memory"
)

// Bound bounds what all connections of one listener hold together: open connections, heads and
// bodies. Once it is reached, the connection that has been idle, or without its whole request,
// for the longest is closed. One whose request is worked on is left alone; where only such are
// open, the newcomer is closed.
//
// How long a request takes to arrive counts from its first byte on: a caller that sends a byte
// now and then gains nothing by it.
type Bound struct {
	options BoundOptions

	mu sync.Mutex

	// held is the sum of what the open connections hold, in bytes. A connection that is closed to
	// make room does not count from then on.
	held int64
	open int

	// closable are the connections that may be closed to make room.
	closable closable

	// wanted says that a connection that was accepted waits for a place.
	wanted bool

	// reported is when the log last told of this bound, unreported how many events it left out.
	reported   time.Time
	unreported int
}

// BoundOptions are those of a bound.
type BoundOptions struct {
	// Name is that of the listener in logs and figures.
	Name string

	// Bytes is the most that all connections may hold, Connections how many may be open; 0 bounds
	// nothing.
	Bytes       int64
	Connections int

	// HeaderBytes and HeaderLines bound a request's head, with its request line. BodyBytes bounds a
	// body. They are asked for each request; nil, or a result of 0, bounds nothing.
	HeaderBytes func() int
	HeaderLines func() int
	BodyBytes   func() int64

	// BodyHeld is how much of a body is held at one time at the most, in bytes; 0 stands for all of it.
	BodyHeld int64

	// ReceiveBuffer is the size of the system's buffer for what has arrived on a connection and was
	// not read, in bytes; 0 leaves it as it is.
	ReceiveBuffer int

	// Count counts what was refused or closed, by its reason; nil counts nothing.
	Count func(name, reason string)

	// Now returns the time; nil stands for time.Now.
	Now func() time.Time

	// Log may be nil.
	Log *slog.Logger
}

// BoundUse is what a bound's connections hold.
type BoundUse struct {
	// Bytes is what they hold together, as it is reckoned.
	Bytes       int64
	Connections int
}

// NewBound returns a bound without connections.
func NewBound(options BoundOptions) *Bound {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Bound{
		options: options,
	}
}

// Use returns what the open connections hold.
func (b *Bound) Use() BoundUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BoundUse{
		Bytes:       b.held,
		Connections: b.open,
	}
}

// admit takes in a new connection. It returns false where there is no room for it.
func (b *Bound) admit(c *heldConn) bool {
	b.mu.Lock()
	c.since = b.options.Now()
	b.open++
	c.counted = true
	b.charge(c, ConnBytes)
	heap.Push(&b.closable, c)
	closing, reason := b.makeRoom()
	admitted := c.counted
	b.mu.Unlock()
	b.end(closing, reason)
	return admitted
}

// release forgets a connection that is closed.
func (b *Bound) release(c *heldConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(c)
}

// forget takes a connection out of the sums. The caller holds the lock.
func (b *Bound) forget(c *heldConn) {
	if !c.counted {
		return
	}
	c.counted = false
	b.unlist(c)
	b.held -= c.held
	c.held = 0
	b.open--
}

// charge adds what a connection holds, which may be negative. The caller holds the lock.
func (b *Bound) charge(c *heldConn, bytes int64) {
	if c.counted {
		c.held += bytes
		b.held += bytes
	}
}

// list lets a connection be closed to make room. The caller holds the lock.
func (b *Bound) list(c *heldConn) {
	if c.counted && c.place == noPlace {
		heap.Push(&b.closable, c)
	}
}

// unlist keeps a connection from being closed to make room. The caller holds the lock.
func (b *Bound) unlist(c *heldConn) {
	if c.place != noPlace {
		heap.Remove(&b.closable, c.place)
	}
}

// makeRoom takes connections out of the sums until the bound holds, and returns them: the caller
// closes them once it has given up the lock, which it holds now.
func (b *Bound) makeRoom() (closing []*heldConn, reason string) {
	for len(b.closable) > 0 {
		switch {
		case b.options.Connections > 0 && b.open > b.options.Connections:
			reason = reasonConnections
		case b.options.Bytes > 0 && b.held > b.options.Bytes:
			reason = reasonMemory
		case b.wanted:
			reason = reasonConnections
		default:
			return closing, reason
		}
		b.wanted = false
		oldest := b.closable[0]
		b.forget(oldest)
		closing = append(closing, oldest)
	}
	return closing, reason
}

// want says whether an accepted connection waits for a place: one that can be closed makes room.
func (b *Bound) want(wanted bool) {
	b.mu.Lock()
	b.wanted = wanted
	closing, reason := b.makeRoom()
	b.mu.Unlock()
	b.end(closing, reason)
}

// end closes connections that make room.
func (b *Bound) end(closing []*heldConn, reason string) {
	for _, c := range closing {
		b.note(reason)
		// Whoever reads it learns of it; it is of no use any more, whatever this says.
		_ = c.Conn.Close()
	}
}

// note counts and logs that something was refused or closed.
func (b *Bound) note(reason string) {
	if b.options.Count != nil {
		b.options.Count("connections_refused_"+b.options.Name, reason)
	}
	if b.options.Log == nil {
		return
	}
	b.mu.Lock()
	now := b.options.Now()
	if now.Sub(b.reported) < reportPause {
		b.unreported++
		b.mu.Unlock()
		return
	}
	left := b.unreported
	b.reported = now
	b.unreported = 0
	open, held := b.open, b.held
	b.mu.Unlock()
	b.options.Log.Warn("connection refused or closed", "listener", b.options.Name, "reason", reason, "open", open, "held_bytes", held, "more_since_last", left)
}

// headFault returns the reason for which a head is refused; empty for none.
func (b *Bound) headFault(h head) string {
	switch {
	case b.options.HeaderBytes != nil && exceeds(h.bytes, b.options.HeaderBytes()):
		return reasonHeaderBytes
	case b.options.HeaderLines != nil && exceeds(h.lines, b.options.HeaderLines()):
		return reasonHeaderLines
	default:
		return ""
	}
}

// bodyLimit returns the most bytes of a body; 0 for no limit.
func (b *Bound) bodyLimit() int64 {
	if b.options.BodyBytes == nil {
		return 0
	}
	return b.options.BodyBytes()
}

func exceeds(count, limit int) bool {
	return limit > 0 && count > limit
}

// closable is a heap of connections, the one that has waited for the longest first.
type closable []*heldConn

// Len implements sort.Interface.
func (l closable) Len() int {
	return len(l)
}

// Less implements sort.Interface.
func (l closable) Less(i, j int) bool {
	return l[i].since.Before(l[j].since)
}

// Pop implements heap.Interface.
func (l *closable) Pop() any {
	last := (*l)[len(*l)-1]
	(*l)[len(*l)-1] = nil
	*l = (*l)[:len(*l)-1]
	last.place = noPlace
	return last
}

// Push implements heap.Interface.
func (l *closable) Push(pushed any) {
	c, ok := pushed.(*heldConn)
	if !ok {
		return
	}
	c.place = len(*l)
	*l = append(*l, c)
}

// Swap implements sort.Interface.
func (l closable) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].place = i
	l[j].place = j
}

// Attach has a server tell the bound of its requests; it must not serve yet, and is to serve a
// listener that has the bound.
func (b *Bound) Attach(server *http.Server) {
	server.ConnState = noteState(server.ConnState)
	server.ConnContext = holdConn(server.ConnContext)
	server.Handler = b.wrap(server.Handler)
}
