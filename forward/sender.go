// Package forward sends a request to an endpoint and knows whether any byte
// of it may have arrived. It sends once: neither it nor net/http below it
// repeats a request.
package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	// connectTimeout bounds the opening of a connection to an endpoint.
	connectTimeout = time.Second

	// idleTimeout closes a connection that carried nothing. It is short, so
	// that a request seldom meets a connection that the endpoint just closed.
	idleTimeout = 5 * time.Second

	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
)

// Body is what is sent. It hides the body's type from net/http, which would
// otherwise repeat a request by itself when a reused connection breaks.
type Body struct {
	Reader io.Reader

	// Length is in bytes, or -1 where it is not known.
	Length int64
}

// Guards are the checks that carry the promises. Each is a field, so that a
// test can replace it by one that always agrees and see a promise break.
type Guards struct {
	// Hide keeps net/http from repeating a request by itself.
	Hide func(body io.Reader) io.Reader

	// Arrived decides from the bytes written to a connection before and after
	// whether any byte of the request may have reached the endpoint.
	Arrived func(before, after int64) bool
}

// Sender sends requests to endpoints.
type Sender struct {
	guards    Guards
	transport *http.Transport
}

// SendError reports a request without an answer.
type SendError struct {
	Address netip.AddrPort

	// Sent is whether any byte of the request may have reached the endpoint.
	// While it is false, the request certainly did not run there.
	Sent  bool
	Cause error
}

// once is a reader without any further method.
type once struct {
	io.Reader
}

// AllGuards returns the guards that hold the promises.
func AllGuards() Guards {
	return Guards{
		Hide: func(body io.Reader) io.Reader {
			return once{
				Reader: body,
			}
		},
		Arrived: func(before, after int64) bool { return before != after },
	}
}

// NewSender returns a sender that opens at most conns connections to each
// endpoint.
func NewSender(conns int) *Sender {
	return NewGuardedSender(conns, AllGuards())
}

// NewGuardedSender returns a sender with the given guards.
func NewGuardedSender(conns int, guards Guards) *Sender {
	dialer := &net.Dialer{
		Timeout: connectTimeout,
	}
	return &Sender{
		guards: guards,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countingConn{
					Conn: conn,
				}, nil
			},
			MaxConnsPerHost:        conns,
			MaxIdleConnsPerHost:    conns,
			MaxIdleConns:           0,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
			ForceAttemptHTTP2:      false,
			WriteBufferSize:        16 << 10,
			ReadBufferSize:         16 << 10,
		},
	}
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("endpoint %s did not answer after the request was sent: %v", e.Address, e.Cause)
	}
	return fmt.Sprintf("endpoint %s was not reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Cause
}

// Close closes idle connections.
func (s *Sender) Close() {
	s.transport.CloseIdleConnections()
}

// Send sends the request once and returns the answer's head, whose body the
// caller must close, or a *SendError.
func (s *Sender) Send(ctx context.Context, to netip.AddrPort, method, path string, header http.Header, body Body) (*http.Response, error) {
	var conn atomic.Pointer[countingConn]
	var before atomic.Int64
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if counting, ok := info.Conn.(*countingConn); ok {
				before.Store(counting.written.Load())
				conn.Store(counting)
			}
		},
	})
	request, err := http.NewRequestWithContext(traced, method, "http://"+to.String()+path, s.guards.Hide(body.Reader))
	if err != nil {
		return nil, &SendError{
			Address: to,
			Sent:    false,
			Cause:   err,
		}
	}
	request.Header = header
	request.ContentLength = body.Length
	if body.Length == 0 {
		// A length of 0 with a body means an unknown length to net/http; an
		// empty body of a known length is written as -1 and probed, which
		// keeps the request from being repeated.
		request.ContentLength = -1
	}
	response, err := s.transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	used := conn.Load()
	return nil, &SendError{
		Address: to,
		Sent:    used != nil && s.guards.Arrived(before.Load(), used.written.Load()),
		Cause:   err,
	}
}
