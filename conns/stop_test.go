package conns_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lemonstream.dev/lemonstream/conns"
)

// lastMomentListener accepts nothing before it is to close: all that comes stands in the
// system's queue then.
type lastMomentListener struct {
	*net.TCPListener
	once    sync.Once
	closing chan struct{}
}

func (l *lastMomentListener) Accept() (net.Conn, error) {
	<-l.closing
	return l.TCPListener.Accept()
}

func (l *lastMomentListener) SetDeadline(at time.Time) error {
	l.once.Do(func() { close(l.closing) })
	return l.TCPListener.SetDeadline(at)
}

// TestStoppingServerEmptiesItsQueue covers callers whose whole requests wait to be
// accepted at the moment in which the listener closes.
func TestStoppingServerEmptiesItsQueue(t *testing.T) {
	const callers = 20
	is := is.New(t)
	limits := conns.ServerLimits{
		Header: time.Minute,
		Quiet:  time.Minute,
	}
	inner, err := net.ListenTCP("tcp4", &net.TCPAddr{
		IP: net.IPv4(127, 0, 0, 1),
	})
	is.NoErr(err)
	server := conns.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), limits)
	var serving errgroup.Group
	serving.Go(func() error {
		return server.Serve(conns.Listen(&lastMomentListener{
			TCPListener: inner,
			closing:     make(chan struct{}),
		}, limits))
	})
	opened := make([]net.Conn, callers)
	for i := range opened {
		opened[i], err = net.Dial("tcp4", inner.Addr().String())
		is.NoErr(err)
		is.NoErr(opened[i].SetDeadline(time.Now().Add(time.Minute)))
		_, err = io.WriteString(opened[i], request(0))
		is.NoErr(err)
	}
	is.NoErr(server.Shutdown(context.Background()))
	for _, conn := range opened {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err) // A whole request gets an answer.
		is.NoErr(response.Body.Close())
		is.True(response.Close)
		is.NoErr(conn.Close())
	}
	is.Equal(serving.Wait(), http.ErrServerClosed)
	_, err = net.Dial("tcp4", inner.Addr().String())
	is.True(err != nil) // The listener is closed.
}
