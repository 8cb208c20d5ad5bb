package conns_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lemonstream.dev/lemonstream/conns"
)

// Limits of requests in these tests.
const (
	headerBytes = 16 << 10
	headerLines = 200
	bodyBytes   = 262_144
)

// boundServer is a server with a bound.
type boundServer struct {
	address string
	bound   *conns.Bound

	mu     sync.Mutex
	counts map[string]int
}

func (s *boundServer) count(_, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[reason]++
}

func (s *boundServer) counted(reason string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[reason]
}

// serveBound starts a server whose connections hold at most what the options say.
func serveBound(t *testing.T, options conns.BoundOptions, handler http.HandlerFunc) *boundServer {
	t.Helper()
	is := is.New(t)
	s := &boundServer{
		counts: make(map[string]int),
	}
	options.Name = "test"
	options.Count = s.count
	options.HeaderBytes = func() int { return headerBytes }
	if options.HeaderLines == nil {
		options.HeaderLines = func() int { return headerLines }
	}
	options.BodyBytes = func() int64 { return bodyBytes }
	s.bound = conns.NewBound(options)
	limits := conns.ServerLimits{
		Header: time.Minute,
		Quiet:  time.Minute,
		Bound:  s.bound,
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	s.address = listener.Addr().String()
	server := conns.NewServer(handler, limits)
	s.bound.Attach(server.Server)
	var serving errgroup.Group
	serving.Go(func() error { return server.Serve(conns.Listen(listener, limits)) })
	t.Cleanup(func() {
		_ = server.Close()
		_ = serving.Wait()
	})
	return s
}

func (s *boundServer) dial(t *testing.T) net.Conn {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp4", s.address)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.NoErr(conn.SetDeadline(time.Now().Add(time.Minute)))
	return conn
}

// crowd opens connections that each send the same and stay open.
func (s *boundServer) crowd(t *testing.T, size int, text string) []net.Conn {
	t.Helper()
	var list []net.Conn
	for range size {
		conn := s.dial(t)
		_, _ = io.WriteString(conn, text) // A closed one fails.
		list = append(list, conn)
	}
	return list
}

// ask sends a request and returns the status of the answer.
func ask(t *testing.T, conn net.Conn, text string) int {
	t.Helper()
	is := is.New(t)
	_, err := io.WriteString(conn, text)
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	return response.StatusCode
}

// isClosed waits for what the server does next at a connection, and reports whether it closed it.
func isClosed(conn net.Conn) bool {
	_, err := conn.Read(make([]byte, 1))
	return err != nil
}

func echoBody(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	_, _ = w.Write(body)
}

// headOf returns the head of a request of so many bytes.
func headOf(size int) string {
	const begin, end = "GET / HTTP/1.1\r\nHost: h\r\nA: ", "\r\n\r\n"
	return begin + strings.Repeat("a", size-len(begin)-len(end)) + end
}

// linesOf returns the head of a request of so many lines, with its request line and the empty one.
func linesOf(count int) string {
	var text strings.Builder
	text.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
	for i := range count - 3 {
		fmt.Fprintf(&text, "a%d:\r\n", i)
	}
	text.WriteString("\r\n")
	return text.String()
}

// TestRequestAtItsLimitsIsServed covers limits that refuse what is just inside, or let in what is
// just outside.
func TestRequestAtItsLimitsIsServed(t *testing.T) {
	chunked := func(size int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
	}
	for name, test := range map[string]struct {
		text   string
		status int
		reason string
	}{
		"head":          {headOf(headerBytes), http.StatusOK, ""},
		"longer head":   {headOf(headerBytes + 1), http.StatusRequestHeaderFieldsTooLarge, "header_too_large"},
		"lines":         {linesOf(headerLines), http.StatusOK, ""},
		"more lines":    {linesOf(headerLines + 1), http.StatusRequestHeaderFieldsTooLarge, "too_many_header_lines"},
		"body":          {request(bodyBytes) + strings.Repeat("x", bodyBytes), http.StatusOK, ""},
		"longer body":   {request(bodyBytes + 1), http.StatusRequestEntityTooLarge, "body_too_large"},
		"chunks":        {chunked(bodyBytes), http.StatusOK, ""},
		"longer chunks": {chunked(bodyBytes + 1), http.StatusRequestEntityTooLarge, "body_too_large"},
		"endless line":  {"GET /" + strings.Repeat("a", 2*headerBytes), http.StatusRequestHeaderFieldsTooLarge, "header_too_large"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := serveBound(t, conns.BoundOptions{}, echoBody)
			is.Equal(ask(t, server.dial(t), test.text), test.status)
			if test.reason != "" {
				is.Equal(server.counted(test.reason), 1)
			}
		})
	}
}

// TestBodyOverItsLimitIsRefusedBeforeItArrives covers a caller that is held for a body that will not
// be taken.
func TestBodyOverItsLimitIsRefusedBeforeItArrives(t *testing.T) {
	is := is.New(t)
	server := serveBound(t, conns.BoundOptions{}, func(http.ResponseWriter, *http.Request) {
		t.Error("the handler has the request")
	})
	is.Equal(ask(t, server.dial(t), request(bodyBytes+1)+"a"), http.StatusRequestEntityTooLarge)
}

// TestOrdinaryRequestIsServedBesideCrowd covers callers that fill the bound and stay: ordinary ones
// would wait, or the memory would grow.
func TestOrdinaryRequestIsServedBesideCrowd(t *testing.T) {
	const size, most = 300, 4 << 20
	for name, text := range map[string]string{
		"silent":         "",
		"heads":          strings.TrimSuffix(linesOf(headerLines), "\r\n"),
		"request lines":  "GET /" + strings.Repeat("a", headerBytes-100),
		"bodies":         request(bodyBytes) + strings.Repeat("x", bodyBytes-1),
		"chunks":         "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n" + strings.Repeat("x", 0xfffe),
		"unread bodies":  "POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\nx",
		"idle":           "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"refused bodies": request(bodyBytes + 1),
		"refused heads":  headOf(headerBytes + 1),
		"empty lines":    strings.Repeat("\r\n", headerBytes),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := serveBound(t, conns.BoundOptions{
				Bytes:       most,
				Connections: size / 2,
			}, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/unread" {
					echoBody(w, r)
				}
			})
			server.crowd(t, size, text)
			is.Equal(ask(t, server.dial(t), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"), http.StatusOK)
			is.Equal(ask(t, server.dial(t), linesOf(headerLines)), http.StatusOK)
			is.Equal(ask(t, server.dial(t), request(bodyBytes)+strings.Repeat("x", bodyBytes)), http.StatusOK)
			use := server.bound.Use()
			is.True(use.Bytes <= most)
			is.True(use.Connections <= size/2)
		})
	}
}

// TestRequestThatIsWorkedOnIsNotClosed covers a request that may have had an effect, the oldest one
// when the bound is reached.
func TestRequestThatIsWorkedOnIsNotClosed(t *testing.T) {
	is := is.New(t)
	began := make(chan struct{})
	goOn := make(chan struct{})
	server := serveBound(t, conns.BoundOptions{
		Connections: 2,
	}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			began <- struct{}{}
			<-goOn
		}
	})
	held := server.dial(t)
	_, err := io.WriteString(held, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-began
	server.crowd(t, 10, "GET /")
	ordinary := server.dial(t)
	is.Equal(ask(t, ordinary, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"), http.StatusOK)
	is.NoErr(ordinary.Close())
	for server.bound.Use().Connections > 1 {
		time.Sleep(time.Millisecond)
	}
	last := server.dial(t)
	_, err = io.WriteString(last, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-began
	is.True(isClosed(server.dial(t))) // All others are worked on.
	close(goOn)
	for _, conn := range []net.Conn{held, last} {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusOK)
	}
}

// TestIdleConnectionsStayWhileThereIsRoom covers connections that callers keep between two requests.
func TestIdleConnectionsStayWhileThereIsRoom(t *testing.T) {
	const size = 20
	is := is.New(t)
	server := serveBound(t, conns.BoundOptions{
		Bytes:       (size + 1) * conns.ConnBytes,
		Connections: size,
	}, echoBody)
	kept := make([]net.Conn, 0, size)
	for range size {
		kept = append(kept, server.dial(t))
	}
	for range 3 {
		for _, conn := range kept {
			is.Equal(ask(t, conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"), http.StatusOK)
		}
	}
	is.Equal(server.counted("too_many_connections")+server.counted("too_much_memory"), 0)
}
