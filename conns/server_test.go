package conns_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lemonstream.dev/lemonstream/conns"
)

const (
	// quiet is how long connections may be quiet in these tests.
	quiet = 1500 * time.Millisecond

	// lossSlack is for how long a request may be with a process that ends its
	// connection without an answer.
	lossSlack = 200 * time.Millisecond

	// piece is well below quiet, also on a busy machine; pieces of them are above.
	piece  = quiet / 5
	pieces = 8
)

// serve starts a server and opens a connection to it.
func serve(t *testing.T, handler http.HandlerFunc) net.Conn {
	t.Helper()
	is := is.New(t)
	limits := conns.ServerLimits{
		Header: quiet,
		Quiet:  quiet,
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	server := conns.NewServer(handler, limits)
	var serving errgroup.Group
	serving.Go(func() error { return server.Serve(conns.Listen(listener, limits)) })
	t.Cleanup(func() {
		_ = server.Close()
		_ = serving.Wait()
	})
	conn, err := net.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.NoErr(conn.SetDeadline(time.Now().Add(time.Minute)))
	return conn
}

func request(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

// TestServerEndsQuietBody covers a caller that goes silent within a body.
func TestServerEndsQuietBody(t *testing.T) {
	is := is.New(t)
	read := make(chan error, 1)
	conn := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		read <- err
	})
	_, err := io.WriteString(conn, request(10)+"half")
	is.NoErr(err)
	is.True(<-read != nil)
	_, err = io.Copy(io.Discard, conn)
	is.NoErr(err) // The server has closed.
}

// TestServerEndsAnswerThatNobodyReads covers a caller that goes silent while its
// answer is on the way.
func TestServerEndsAnswerThatNobodyReads(t *testing.T) {
	is := is.New(t)
	wrote := make(chan error, 1)
	conn := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		var err error
		for err == nil {
			_, err = w.Write(make([]byte, 1<<20))
		}
		wrote <- err
	})
	_, err := io.WriteString(conn, request(0))
	is.NoErr(err)
	is.True(<-wrote != nil)
}

// TestServerWaitsForSlowBody covers a body that comes slowly: it takes longer than
// the connection may be quiet.
func TestServerWaitsForSlowBody(t *testing.T) {
	is := is.New(t)
	conn := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	_, err := io.WriteString(conn, request(pieces))
	is.NoErr(err)
	for range pieces {
		time.Sleep(piece)
		_, err := io.WriteString(conn, "x")
		is.NoErr(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), strings.Repeat("x", pieces))
}

// TestServerDeliversSlowlyReadAnswer covers an answer that is taken slowly: one
// write of it takes longer than the connection may be quiet.
func TestServerDeliversSlowlyReadAnswer(t *testing.T) {
	const size = 32 << 20
	is := is.New(t)
	conn := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
	})
	_, err := io.WriteString(conn, request(0))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	for range pieces {
		time.Sleep(piece)
		_, err := io.CopyN(io.Discard, response.Body, size/pieces)
		is.NoErr(err)
	}
}

// TestServerLetsRequestBeWorkedOn covers a request that takes longer than its
// connection may be quiet: it is neither given up nor left without an answer.
func TestServerLetsRequestBeWorkedOn(t *testing.T) {
	is := is.New(t)
	conn := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusTeapot)
		case <-time.After(2 * quiet):
			_, _ = w.Write(body)
		}
	})
	reader := bufio.NewReader(conn)
	for range 2 {
		_, err := io.WriteString(conn, request(4)+"body")
		is.NoErr(err)
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		_ = response.Body.Close()
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(string(body), "body")
	}
}

// TestServerStops covers the orderly end of a server with a bounded listener.
func TestServerStops(t *testing.T) {
	is := is.New(t)
	limits := conns.ServerLimits{
		Header: quiet,
		Quiet:  quiet,
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	server := conns.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), limits)
	var serving errgroup.Group
	serving.Go(func() error { return server.Serve(conns.Listen(listener, limits)) })
	is.NoErr(server.Shutdown(context.Background()))
	is.Equal(serving.Wait(), http.ErrServerClosed)
}

// lateListener accepts, and lets read, only once it is told to: like that of a process
// that has to wait for its processor. What callers have sent stands in the system.
type lateListener struct {
	net.Listener
	accept chan struct{}
}

// lateConn is a connection whose next read is held back once late is set. Only that one is:
// net/http may read the first byte of a request by itself, and then the rest.
type lateConn struct {
	net.Conn
	came chan<- struct{}
	read <-chan struct{}
	late atomic.Bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.accept
	return l.Listener.Accept()
}

func (c *lateConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if err == nil && c.late.CompareAndSwap(true, false) {
		c.came <- struct{}{}
		<-c.read
	}
	return n, err
}

// TestStoppingServerAnswersWhatItHasNotAccepted covers a caller whose whole request
// waits in the system, in the queue of connections that are not accepted yet, when the
// server stops.
func TestStoppingServerAnswersWhatItHasNotAccepted(t *testing.T) {
	is := is.New(t)
	limits := conns.ServerLimits{
		Header: time.Minute,
		Quiet:  time.Minute,
	}
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	late := &lateListener{
		Listener: inner,
		accept:   make(chan struct{}),
	}
	server := conns.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), limits)
	var serving errgroup.Group
	serving.Go(func() error { return server.Serve(conns.Listen(late, limits)) })
	conn, err := net.Dial("tcp4", inner.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, request(0))
	is.NoErr(err)
	time.Sleep(lossSlack)
	var stopping errgroup.Group
	stopping.Go(func() error { return server.Shutdown(context.Background()) })
	time.Sleep(lossSlack) // The processor comes back a moment after the stop began.
	close(late.accept)
	is.NoErr(stopping.Wait())
	is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Minute)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err) // A whole request gets an answer.
	is.NoErr(response.Body.Close())
	_ = serving.Wait()
}

// lateReads wraps the connections of a listener in lateConn.
type lateReads struct {
	net.Listener
	conns chan<- *lateConn
	came  chan<- struct{}
	read  <-chan struct{}
}

func (l *lateReads) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &lateConn{
		Conn: accepted,
		came: l.came,
		read: l.read,
	}
	l.conns <- c
	return c, nil
}

// TestStoppingServerAnswersWhatItHasNotRead covers a caller who sends a whole request
// over a connection that was idle, to a process that has not come to read it when the
// server stops: net/http takes the connection for idle until the headers are read.
func TestStoppingServerAnswersWhatItHasNotRead(t *testing.T) {
	is := is.New(t)
	limits := conns.ServerLimits{
		Header: time.Minute,
		Quiet:  time.Minute,
	}
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	accepted := make(chan *lateConn, 1)
	came := make(chan struct{})
	read := make(chan struct{})
	server := conns.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), limits)
	var serving errgroup.Group
	serving.Go(func() error {
		return server.Serve(conns.Listen(&lateReads{
			Listener: inner,
			conns:    accepted,
			came:     came,
			read:     read,
		}, limits))
	})
	conn, err := net.Dial("tcp4", inner.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(time.Minute)))
	reader := bufio.NewReader(conn)
	_, err = io.WriteString(conn, request(0))
	is.NoErr(err)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	(<-accepted).late.Store(true)
	_, err = io.WriteString(conn, request(0))
	is.NoErr(err)
	<-came
	time.Sleep(lossSlack)
	var stopping errgroup.Group
	stopping.Go(func() error { return server.Shutdown(context.Background()) })
	time.Sleep(lossSlack) // The processor comes back a moment after the stop began.
	close(read)
	response, err = http.ReadResponse(reader, nil)
	is.NoErr(err) // A whole request gets an answer.
	is.NoErr(response.Body.Close())
	is.NoErr(stopping.Wait())
	_ = serving.Wait()
}

// TestStoppingServerAnswersWhatItHasNotAcceptedInVirtualTime is the test above with moments that
// do not depend on the machine; a pipe stands for the connection.
func TestStoppingServerAnswersWhatItHasNotAcceptedInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		inner := newPipeListener()
		late := &lateListener{
			Listener: inner,
			accept:   make(chan struct{}),
		}
		server, serving := serveOn(late)
		conn := inner.dial(func(accepted net.Conn) net.Conn { return accepted })
		defer func() { _ = conn.Close() }()
		is.NoErr(conn.SetDeadline(time.Now().Add(time.Minute)))
		var sending errgroup.Group
		sending.Go(func() error {
			_, err := io.WriteString(conn, request(0))
			return err
		})
		time.Sleep(lossSlack)
		var stopping errgroup.Group
		stopping.Go(func() error { return server.Shutdown(context.Background()) })
		time.Sleep(lossSlack) // The processor comes back a moment after the stop began.
		close(late.accept)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err) // A whole request gets an answer.
		is.NoErr(response.Body.Close())
		is.NoErr(sending.Wait())
		is.NoErr(stopping.Wait())
		_ = serving.Wait()
	})
}

// pipeListener accepts one end of each pipe that is dialed. One pipe waits in its queue.
type pipeListener struct {
	dialed chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{
		dialed: make(chan net.Conn, 1),
		closed: make(chan struct{}),
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case accepted := <-l.dialed:
		return accepted, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Addr() net.Addr {
	return &net.TCPAddr{}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// serveOn starts a server on a listener that answers every request at once.
func serveOn(listener net.Listener) (*conns.Server, *errgroup.Group) {
	limits := conns.ServerLimits{
		Header: time.Minute,
		Quiet:  time.Minute,
	}
	server := conns.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), limits)
	serving := &errgroup.Group{}
	serving.Go(func() error { return server.Serve(conns.Listen(listener, limits)) })
	return server, serving
}

// dial returns the caller's end of a connection whose other end is accepted.
func (l *pipeListener) dial(wrap func(net.Conn) net.Conn) net.Conn {
	caller, accepted := net.Pipe()
	l.dialed <- wrap(accepted)
	return caller
}

// TestStoppingServerAnswersWhatItHasNotReadInVirtualTime is the test above with moments that do
// not depend on the machine; a pipe stands for the connection.
func TestStoppingServerAnswersWhatItHasNotReadInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		listener := newPipeListener()
		came := make(chan struct{})
		read := make(chan struct{})
		server, serving := serveOn(listener)
		late := &lateConn{
			came: came,
			read: read,
		}
		conn := listener.dial(func(accepted net.Conn) net.Conn {
			late.Conn = accepted
			return late
		})
		defer func() { _ = conn.Close() }()
		is.NoErr(conn.SetDeadline(time.Now().Add(time.Minute)))
		reader := bufio.NewReader(conn)
		_, err := io.WriteString(conn, request(0))
		is.NoErr(err)
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		synctest.Wait() // The server waits for the next request.
		late.late.Store(true)
		_, err = io.WriteString(conn, request(0))
		is.NoErr(err)
		<-came
		time.Sleep(lossSlack)
		var stopping errgroup.Group
		stopping.Go(func() error { return server.Shutdown(context.Background()) })
		time.Sleep(lossSlack) // The processor comes back a moment after the stop began.
		close(read)
		response, err = http.ReadResponse(reader, nil)
		is.NoErr(err) // A whole request gets an answer.
		is.NoErr(response.Body.Close())
		is.NoErr(stopping.Wait())
		_ = serving.Wait()
	})
}
