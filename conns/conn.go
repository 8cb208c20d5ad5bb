package conns

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"syscall"
	"time"
)

// conn is an open connection. One call at a time uses it.
type conn struct {
	net.Conn
	to     netip.AddrPort
	raw    syscall.RawConn
	reader *bufio.Reader
	writer *bufio.Writer

	// heard is when the other side last said something, or took the connection.
	heard time.Time

	// proved says that something was heard since it was opened.
	proved bool

	// unusedSince is when the last call gave it back. urgent says that the call that has it is urgent;
	// the pool's lock guards it.
	unusedSince time.Time
	urgent      bool
}

func newConn(opened net.Conn, to netip.AddrPort) (*conn, error) {
	n := &conn{
		Conn:   opened,
		to:     to,
		heard:  time.Now(),
		writer: bufio.NewWriter(opened),
	}
	n.reader = bufio.NewReader(n)
	system, ok := opened.(syscall.Conn)
	if !ok {
		return n, nil
	}
	var err error
	n.raw, err = system.SyscallConn()
	return n, err
}

// NetConn returns the connection itself, as that of crypto/tls does.
func (n *conn) NetConn() net.Conn {
	return n.Conn
}

// Read implements net.Conn.
func (n *conn) Read(into []byte) (int, error) {
	read, err := n.Conn.Read(into)
	if read > 0 {
		n.heard = time.Now()
		n.proved = true
	}
	return read, err
}

// isOpen reports whether an unused connection is not known to be closed by the other side.
// One that said something while nobody had asked is of no use either.
func (n *conn) isOpen() bool {
	if n.raw == nil {
		return true
	}
	open := false
	err := n.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return open && err == nil
}

// interrupt ends a read or a write that is under way.
func (n *conn) interrupt() {
	// The connection is not used again, whatever this says.
	_ = n.SetDeadline(time.Unix(1, 0))
}

// exchange sends a request and reads its answer, of at most so many bytes. It reports whether
// the connection can be used for another one.
func (n *conn) exchange(ctx context.Context, call Call, most int64) (Answer, bool, error) {
	stop := context.AfterFunc(ctx, n.interrupt)
	answer, reusable, err := n.roundTrip(call, most)
	undisturbed := stop()
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	return answer, reusable && undisturbed && err == nil, err
}

func (n *conn) roundTrip(call Call, most int64) (Answer, bool, error) {
	request := n.request(call)
	if err := request.Write(n.writer); err != nil {
		return Answer{}, false, err
	}
	if err := n.writer.Flush(); err != nil {
		return Answer{}, false, err
	}
	response, err := http.ReadResponse(n.reader, request)
	if err != nil {
		return Answer{}, false, err
	}
	defer func() { _ = response.Body.Close() }()
	limited := &io.LimitedReader{
		R: response.Body,
		N: most,
	}
	read, err := io.ReadAll(limited)
	if err != nil {
		return Answer{}, false, err
	}
	whole := limited.N > 0 && n.reader.Buffered() == 0
	return Answer{
		Status: response.StatusCode,
		Body:   read,
	}, whole && !response.Close, nil
}

// request returns a call as net/http writes it.
func (n *conn) request(call Call) *http.Request {
	return &http.Request{
		Method: call.Method,
		URL: &url.URL{
			Scheme: "http",
			Host:   n.to.String(),
			Opaque: call.Target,
		},
		Host:          n.to.String(),
		Header:        call.Header,
		Body:          bodyOf(call.Body),
		ContentLength: int64(len(call.Body)),
	}
}

func bodyOf(body []byte) io.ReadCloser {
	if len(body) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(body))
}
