package conns_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/conns"
)

// stubListener hands out connections that are sent to it.
type stubListener struct {
	net.Listener
	next chan net.Conn
}

// stubConn is a connection of which every read returns what it is asked for.
type stubConn struct {
	net.Conn
	closed bool
}

func (l *stubListener) Accept() (net.Conn, error) {
	conn, open := <-l.next
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (c *stubConn) Close() error {
	c.closed = true
	return nil
}

func (c *stubConn) Read(into []byte) (int, error) {
	for i := range into {
		into[i] = "a: b\n"[i%5]
	}
	return len(into), nil
}

func (c *stubConn) SetDeadline(time.Time) error {
	return nil
}

func (c *stubConn) Write(from []byte) (int, error) {
	return len(from), nil
}

// tracked is a connection with what the oracle knows of it.
type tracked struct {
	net.Conn
	stub *stubConn

	// since is when its request began to arrive, or it became idle.
	since   int
	arrived bool
}

// TestHeldMemoryReturnsToZero drives connections in any order: what they hold is never negative nor
// above the bound, none but the one that has waited for the longest is closed, and nothing is left of
// what is closed.
func TestHeldMemoryReturnsToZero(t *testing.T) {
	const most = 8
	rapid.Check(t, func(t *rapid.T) {
		now := 0
		bound := conns.NewBound(conns.BoundOptions{
			Bytes:       3 * most * conns.ConnBytes,
			Connections: most,
			Now:         func() time.Time { return time.Unix(int64(now), 0) },
		})
		server := &http.Server{
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }),
		}
		bound.Attach(server)
		inner := &stubListener{
			next: make(chan net.Conn, 1),
		}
		listener := conns.Listen(inner, conns.ServerLimits{
			Bound: bound,
		})
		var open []*tracked
		// settle takes out what was closed: it had waited for longer than all that are left.
		settle := func() {
			var left []*tracked
			newestClosed := -1
			for _, c := range open {
				if c.stub.closed {
					newestClosed = max(newestClosed, c.since)
				} else {
					left = append(left, c)
				}
			}
			for _, c := range left {
				if c.since < newestClosed {
					t.Fatalf("closed one of %d s while one of %d s is open", newestClosed, c.since)
				}
			}
			open = left
			use := bound.Use()
			if use.Connections != len(open) || use.Bytes < int64(len(open)*conns.ConnBytes) || use.Bytes > 3*most*conns.ConnBytes {
				t.Fatalf("%d connections hold %+v", len(open), use)
			}
		}
		steps := map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				stub := &stubConn{}
				inner.next <- stub
				accepted, err := listener.Accept()
				if err != nil {
					t.Fatal(err)
				}
				open = append(open, &tracked{
					Conn:  accepted,
					stub:  stub,
					since: now,
				})
			},
			"read": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("none is open")
				}
				c := rapid.SampledFrom(open).Draw(t, "connection")
				if !c.arrived {
					c.arrived = true
					c.since = now
				}
				_, _ = c.Read(make([]byte, rapid.IntRange(1, 8<<10).Draw(t, "bytes")))
			},
			"serve": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("none is open")
				}
				c := rapid.SampledFrom(open).Draw(t, "connection")
				body := io.LimitReader(c, int64(rapid.IntRange(1, 64<<10).Draw(t, "body")))
				asked := httptest.NewRequest(http.MethodPost, "/", body)
				server.Handler.ServeHTTP(httptest.NewRecorder(), asked.WithContext(server.ConnContext(context.Background(), c.Conn)))
				if !c.stub.closed {
					server.ConnState(c.Conn, http.StateIdle)
					c.since = now
					c.arrived = false
				}
			},
			"close": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("none is open")
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "connection")
				_ = open[i].Close()
				_ = open[i].Close()
				open = append(open[:i], open[i+1:]...)
			},
			"": func(*rapid.T) {
				settle()
				now++
			},
		}
		t.Repeat(steps)
		for _, c := range open {
			_ = c.Close()
		}
		if use := bound.Use(); use != (conns.BoundUse{}) {
			t.Fatalf("without connections, %+v is held", use)
		}
	})
}
