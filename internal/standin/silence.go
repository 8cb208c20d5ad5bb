package standin

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
)

// SilencedServer is a server whose connections can go silent for good, without a
// reset, while new ones work.
type SilencedServer struct {
	server   *httptest.Server
	listener *silencedListener
}

// silencedListener accepts connections that can go silent.
type silencedListener struct {
	net.Listener

	mu    sync.Mutex
	conns []*silencedConn
}

// silencedConn is one such connection, on the server's side.
type silencedConn struct {
	net.Conn

	mu sync.Mutex

	// silent drops everything in both directions; used says that something was
	// dropped.
	silent bool
	used   bool
}

// gate holds the first requests until all of them are there, so that each has a
// connection of its own.
type gate struct {
	next http.Handler
	open chan struct{}

	mu      sync.Mutex
	missing int
}

// StartSilenced starts a server. It answers the first requests once as many have
// arrived as the gate says.
func StartSilenced(handler http.Handler, first int) *SilencedServer {
	s := &SilencedServer{}
	s.server = httptest.NewUnstartedServer(&gate{
		next:    handler,
		open:    make(chan struct{}),
		missing: first,
	})
	s.listener = &silencedListener{
		Listener: s.server.Listener,
	}
	s.server.Listener = s.listener
	s.server.Start()
	return s
}

// Address returns where the server listens.
func (s *SilencedServer) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.server.Listener.Addr().String())
}

// Close ends the server.
func (s *SilencedServer) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Silence lets every connection that is open now go silent, and returns how many
// there are.
func (s *SilencedServer) Silence() int {
	return s.listener.set(true)
}

// Speak lets the connections that are open now speak again. What they dropped is
// lost.
func (s *SilencedServer) Speak() {
	s.listener.set(false)
}

// Used returns how many of the silent connections something was sent over.
func (s *SilencedServer) Used() int {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	used := 0
	for _, conn := range s.listener.conns {
		conn.mu.Lock()
		if conn.used {
			used++
		}
		conn.mu.Unlock()
	}
	return used
}

// Accept implements net.Listener.
func (l *silencedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &silencedConn{
		Conn: accepted,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	return conn, nil
}

// set silences the connections that are open now, or lets them speak, and returns
// how many there are.
func (l *silencedListener) set(silent bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		conn.mu.Lock()
		conn.silent = silent
		conn.mu.Unlock()
	}
	return len(l.conns)
}

// Read implements net.Conn.
func (c *silencedConn) Read(into []byte) (int, error) {
	for {
		n, err := c.Conn.Read(into)
		if !c.drops(n) || err != nil {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *silencedConn) Write(from []byte) (int, error) {
	if c.drops(len(from)) {
		return len(from), nil
	}
	return c.Conn.Write(from)
}

// drops reports whether some bytes get lost.
func (c *silencedConn) drops(bytes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = c.used || (c.silent && bytes > 0)
	return c.silent
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	g.missing--
	if g.missing == 0 {
		close(g.open)
	}
	g.mu.Unlock()
	<-g.open
	g.next.ServeHTTP(w, r)
}
