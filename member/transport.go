package member

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"lemonstream.dev/lemonstream/kernel"
)

const (
	// handshakeTimeout bounds the opening of a connection to a peer.
	handshakeTimeout = 2 * time.Second

	// idleTimeout closes a connection that carried nothing.
	idleTimeout = 30 * time.Second

	// maxStreams bounds the messages that a peer may have open at once.
	maxStreams = 1024
)

// Handler answers a message of one kind.
type Handler func(ctx context.Context, body []byte) ([]byte, error)

// Transport carries messages between this entry and its peers.
type Transport struct {
	quic     *quic.Transport
	listener *quic.Listener
	keys     *Keys
	group    *kernel.Group
	log      *slog.Logger

	// handlers is written only before Run.
	handlers map[Kind]Handler

	mu    sync.Mutex
	conns map[netip.AddrPort]*quic.Conn

	// socket counts what goes out; what comes in goes out at a peer.
	socket *countingSocket

	// Drop, when set, makes a message to the address vanish; it is a seam for
	// tests of cut peers.
	Drop func(to netip.AddrPort) bool
}

// UnreachableError reports a peer that did not answer.
type UnreachableError struct {
	Address netip.AddrPort
	Cause   error
}

// Listen opens the entry's peer address.
func Listen(address netip.AddrPort, keys *Keys, group *kernel.Group, log *slog.Logger) (*Transport, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listening for peers on %s: %w", address, err)
	}
	counting := &countingSocket{
		UDPConn: socket,
	}
	transport := &quic.Transport{
		Conn: counting,
	}
	listener, err := transport.Listen(keys.server(), quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("listening for peers on %s: %w", address, err)
	}
	return &Transport{
		quic:     transport,
		listener: listener,
		socket:   counting,
		keys:     keys,
		group:    group,
		log:      log,
		handlers: make(map[Kind]Handler),
		conns:    make(map[netip.AddrPort]*quic.Conn),
	}, nil
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %s did not answer: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error {
	return e.Cause
}

// Sent returns the bytes sent to peers so far, with the headers of UDP and IP.
func (t *Transport) Sent() int64 {
	return t.socket.sent.Load()
}

// Call sends a message and waits for the answer until ctx ends. An
// *UnreachableError leaves open whether the peer took the message.
func (t *Transport) Call(ctx context.Context, to netip.AddrPort, kind Kind, body []byte) ([]byte, error) {
	answer, err := t.call(ctx, to, kind, body)
	if err != nil {
		return nil, &UnreachableError{
			Address: to,
			Cause:   err,
		}
	}
	if err := answer.err(); err != nil {
		return nil, fmt.Errorf("peer %s refused: %w", to, err)
	}
	return answer.Body, nil
}

// Close closes all connections and the listener.
func (t *Transport) Close() error {
	t.mu.Lock()
	for _, conn := range t.conns {
		_ = conn.CloseWithError(0, "stopping")
	}
	t.mu.Unlock()
	return errors.Join(t.listener.Close(), t.quic.Close(), t.quic.Conn.Close())
}

// Handle has messages of a kind answered by handler. It must be called before
// Run.
func (t *Transport) Handle(kind Kind, handler Handler) {
	t.handlers[kind] = handler
}

// Run accepts peers until ctx ends.
func (t *Transport) Run(ctx context.Context) error {
	for {
		conn, err := t.listener.Accept(ctx)
		if err != nil {
			return acceptError(ctx, err)
		}
		t.group.Go("peer connection", func(ctx context.Context) error {
			t.serve(ctx, conn)
			return nil
		})
	}
}

func (t *Transport) call(ctx context.Context, to netip.AddrPort, kind Kind, body []byte) (envelope, error) {
	if t.Drop != nil && t.Drop(to) {
		<-ctx.Done()
		return envelope{}, ctx.Err()
	}
	conn, err := t.conn(ctx, to)
	if err != nil {
		return envelope{}, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		t.forget(to, conn)
		return envelope{}, err
	}
	if deadline, found := ctx.Deadline(); found {
		_ = stream.SetDeadline(deadline)
	}
	defer stream.CancelRead(0)
	if err := t.write(stream, envelope{
		Kind: kind,
		Body: body,
	}); err != nil {
		t.forget(to, conn)
		return envelope{}, err
	}
	answer, err := readEnvelope(stream)
	if err != nil {
		t.forget(to, conn)
	}
	return answer, err
}

// conn returns the open connection to a peer, or opens one.
func (t *Transport) conn(ctx context.Context, to netip.AddrPort) (*quic.Conn, error) {
	t.mu.Lock()
	conn := t.conns[to]
	t.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	dialing, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	opened, err := t.quic.Dial(dialing, net.UDPAddrFromAddrPort(to), t.keys.client(), quicConfig())
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[to] = opened
	return opened, nil
}

// forget has the next call open another connection. The one that failed is
// left to calls that may still be answered on it, and closes when idle.
func (t *Transport) forget(to netip.AddrPort, conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[to] == conn {
		delete(t.conns, to)
	}
}

func (t *Transport) serve(ctx context.Context, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		t.group.Go("peer message", func(ctx context.Context) error {
			t.serveStream(ctx, stream)
			return nil
		})
	}
}

func (t *Transport) serveStream(ctx context.Context, stream *quic.Stream) {
	_ = stream.SetDeadline(time.Now().Add(idleTimeout))
	message, err := readEnvelope(stream)
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	answer := envelope{
		Kind: message.Kind,
	}
	handler, found := t.handlers[message.Kind]
	if !found {
		answer.Problem = fmt.Sprintf("unknown kind of message %d", message.Kind)
	} else if answer.Body, err = handler(ctx, message.Body); err != nil {
		answer.Problem = err.Error()
	}
	if err := t.write(stream, answer); err != nil {
		t.log.Debug("answer to peer not sent", "error", err)
	}
}

func (t *Transport) write(stream *quic.Stream, message envelope) error {
	body, err := Encode(message)
	if err != nil {
		return err
	}
	if _, err := stream.Write(body); err != nil {
		return err
	}
	return stream.Close()
}

// acceptError returns nil for an error that only says that the entry stops.
func acceptError(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
		return nil //nolint:nilerr // The listener was closed on purpose.
	}
	return fmt.Errorf("accepting peers: %w", err)
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		MaxIncomingStreams:   maxStreams,
	}
}
