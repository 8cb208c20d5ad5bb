package conns

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// ServerLimits are those of a server. None of them bounds how long a request may be
// worked on, and none ends an answer of which anything can still be delivered.
type ServerLimits struct {
	// Header bounds the headers of a request from their first byte on.
	Header time.Duration

	// Quiet is how long a connection may be quiet before it is closed: between two
	// requests, within the body of one, and while an answer waits to be written.
	Quiet time.Duration

	// Meter counts the bytes of connections under the name Purpose; nil counts nothing.
	Meter   Meter
	Purpose string

	// Bound bounds what the connections hold together; nil bounds nothing. It has to be attached
	// to the server as well.
	Bound *Bound
}

// boundedBody is the body of a request of which some has to arrive in each span of
// time.
type boundedBody struct {
	io.ReadCloser
	control *http.ResponseController
	quiet   time.Duration
}

// boundedConn is a connection at which some of an answer has to be taken in each
// span of time.
type boundedConn struct {
	net.Conn
	quiet time.Duration
}

// NewServer returns a server whose connections do not stay once they are silent. It
// is to serve a listener of Listen.
func NewServer(handler http.Handler, limits ServerLimits) *Server {
	return Stoppable(&http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Body != nil && r.Body != http.NoBody {
				body := &boundedBody{
					ReadCloser: r.Body,
					control:    http.NewResponseController(w),
					quiet:      limits.Quiet,
				}
				// Also a body that nobody reads is read before the next request.
				body.extend()
				r.Body = body
			}
			handler.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: limits.Header,
		IdleTimeout:       limits.Quiet,
	})
}

// Listen bounds the writing at the connections that a listener accepts, and what they hold.
func Listen(listener net.Listener, limits ServerLimits) net.Listener {
	l := newListener(listener, limits.Quiet)
	l.meter = limits.Meter
	l.purpose = limits.Purpose
	l.setBound(limits.Bound)
	return l
}

// Read implements io.Reader.
func (b *boundedBody) Read(into []byte) (int, error) {
	b.extend()
	n, err := b.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) {
		// From here on net/http watches whether the caller leaves; that takes as long
		// as the answer does.
		b.until(time.Time{})
	}
	return n, err
}

func (b *boundedBody) extend() {
	b.until(time.Now().Add(b.quiet))
}

func (b *boundedBody) until(deadline time.Time) {
	// It fails only at a connection that is closed, and so does the next read.
	_ = b.control.SetReadDeadline(deadline)
}

// Write implements net.Conn.
func (c *boundedConn) Write(from []byte) (int, error) {
	written := 0
	for {
		// It fails only at a connection that is closed, and so does the writing.
		_ = c.SetWriteDeadline(time.Now().Add(c.quiet))
		n, err := c.Conn.Write(from[written:])
		written += n
		var late net.Error
		if n > 0 && written < len(from) && errors.As(err, &late) && late.Timeout() {
			continue
		}
		return written, err
	}
}
