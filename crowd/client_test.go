package crowd_test

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// lanes is how many goroutines drive the connections of a crowd.
	lanes = 8

	// passPause is the pause between two passes over the connections of a lane.
	passPause = 20 * time.Millisecond

	// passBytes is the most that a connection sends in one pass.
	passBytes = 64 << 10

	// dialTimeout bounds the opening of a connection, which hangs where the queue of new
	// connections is full.
	dialTimeout = 300 * time.Millisecond

	// crowdLeast and crowdMost bound for how long a crowd stays.
	crowdLeast = 4 * time.Second
	crowdMost  = 20 * time.Second

	// openings is how often each connection is opened at most, as a mean: it is opened again
	// when the entry closes it.
	openings = 3
)

// script is what one connection sends: the head once, the body a number of times and the end
// once. It stays open after that.
type script struct {
	// head is the connection's own; body and end are shared and do not change.
	head  []byte
	body  []byte
	times int
	end   []byte

	// fast is how many bytes are sent at full speed. The others follow slow at a time; slow is
	// 0 where all are sent at full speed.
	fast int
	slow int

	// deaf says that nothing the entry says is read.
	deaf bool
}

// shape is what a number of connections do.
type shape struct {
	address     string
	connections int

	// script returns what a connection sends, given the number of its opening.
	script func(opening int) script
}

// crowd is shapes in action.
type crowd struct {
	entry   *entry
	running errgroup.Group
	over    atomic.Bool
	began   time.Time

	opened  atomic.Int64
	closed  atomic.Int64
	refused atomic.Int64
	sent    atomic.Int64
}

// client is one connection of a crowd; conn is nil while it is not open.
type client struct {
	shape *shape
	left  *atomic.Int64
	conn  *net.TCPConn
	raw   syscall.RawConn
	script
	at int
}

// gather starts the shapes.
func (e *entry) gather(shapes ...shape) *crowd {
	c := &crowd{
		entry: e,
		began: time.Now(),
	}
	var clients [lanes][]*client
	next := 0
	for i := range shapes {
		left := &atomic.Int64{}
		left.Store(int64(openings * shapes[i].connections))
		for range shapes[i].connections {
			clients[next%lanes] = append(clients[next%lanes], &client{
				shape: &shapes[i],
				left:  left,
			})
			next++
		}
	}
	for _, lane := range clients {
		c.running.Go(func() error {
			c.drive(lane)
			return nil
		})
	}
	return c
}

// drive moves the connections of a lane on until the crowd is over.
func (c *crowd) drive(lane []*client) {
	scratch := make([]byte, 4<<10)
	for !c.over.Load() && c.entry.lives() && time.Since(c.began) < crowdMost {
		for _, one := range lane {
			if c.over.Load() {
				break
			}
			c.move(one, scratch)
		}
		time.Sleep(passPause)
	}
	for _, one := range lane {
		if one.conn != nil {
			_ = one.conn.Close()
		}
	}
}

// move opens a connection or has it send what follows.
func (c *crowd) move(one *client, scratch []byte) {
	if one.conn == nil && !c.open(one) {
		return
	}
	if one.hear(scratch) && one.send(&c.sent) {
		return
	}
	_ = one.conn.Close()
	one.conn = nil
	c.closed.Add(1)
}

// open opens a connection unless all openings of its shape are used up.
func (c *crowd) open(one *client) bool {
	left := one.left.Add(-1)
	if left < 0 {
		return false
	}
	dialer := net.Dialer{
		Timeout: dialTimeout,
	}
	conn, err := dialer.Dial("tcp4", one.shape.address)
	if err != nil {
		c.refused.Add(1)
		return false
	}
	one.conn = conn.(*net.TCPConn)
	if one.raw, err = one.conn.SyscallConn(); err != nil {
		_ = conn.Close()
		one.conn = nil
		return false
	}
	one.script = one.shape.script(int(left))
	one.at = 0
	c.opened.Add(1)
	return true
}

// hear discards what the entry says; it reports whether the connection is open.
func (one *client) hear(scratch []byte) bool {
	if one.deaf {
		return true
	}
	var n int
	var err error
	if failure := one.raw.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), scratch)
		return true
	}); failure != nil {
		return false
	}
	return n > 0 || waits(err)
}

// send sends what the connection takes of what follows, without waiting; it reports whether
// the connection is open.
func (one *client) send(total *atomic.Int64) bool {
	most := passBytes
	switch {
	case one.slow > 0 && one.at < one.fast:
		most = min(passBytes, one.fast-one.at)
	case one.slow > 0:
		most = one.slow
	}
	for most > 0 {
		part := one.rest()
		if len(part) == 0 {
			return true
		}
		part = part[:min(most, len(part))]
		var n int
		var err error
		if failure := one.raw.Write(func(fd uintptr) bool {
			n, err = syscall.Write(int(fd), part)
			return true
		}); failure != nil {
			return false
		}
		if err != nil {
			return waits(err)
		}
		one.at += n
		most -= n
		total.Add(int64(n))
	}
	return true
}

// rest returns the next bytes of the script; none at its end.
func (one *client) rest() []byte {
	at := one.at
	if at < len(one.head) {
		return one.head[at:]
	}
	at -= len(one.head)
	if at < one.times*len(one.body) {
		return one.body[at%len(one.body):]
	}
	at -= one.times * len(one.body)
	return one.end[min(at, len(one.end)):]
}

func waits(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}

// end has the crowd leave.
func (c *crowd) end() {
	c.over.Store(true)
	_ = c.running.Wait()
}

// endure has a crowd come, an ordinary request answered while it is there or gone by itself,
// and another one after it has left.
func (e *entry) endure(shapes ...shape) {
	e.t.Helper()
	c := e.gather(shapes...)
	defer c.end()
	for e.lives() && time.Since(c.began) < crowdLeast {
		time.Sleep(passPause)
	}
	e.until("an ordinary request beside the crowd", e.ordinaryOnce())
	stayed := time.Since(c.began) < crowdMost
	c.end()
	e.t.Logf("crowd: %d opened, %d closed by the entry, %d not opened, %d kB sent, there at the answer: %t",
		c.opened.Load(), c.closed.Load(), c.refused.Load(), c.sent.Load()>>10, stayed)
	e.ordinary()
	e.until("a ready entry", e.isReady)
	e.check()
}
