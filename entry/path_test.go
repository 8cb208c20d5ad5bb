package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"lemonstream.dev/lemonstream/admit"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/config"
	"lemonstream.dev/lemonstream/entry"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/forward"
	"lemonstream.dev/lemonstream/once"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

// behaviour is what an endpoint does with a connection.
type behaviour func(conn net.Conn, e *endpoint)

// endpoint is a bare endpoint that counts the requests that it read whole.
type endpoint struct {
	address netip.AddrPort

	mu  sync.Mutex
	ran map[string]int
}

// path is one entry in front of endpoints.
type path struct {
	t         *testing.T
	server    *httptest.Server
	handler   *entry.Handler
	services  *entry.Services
	view      *state.View
	endpoints []*endpoint
}

// pathOptions are the parts of a path that a test replaces.
type pathOptions struct {
	guards    entry.Guards
	sender    forward.Guards
	claims    entry.Claims
	limits    entry.Limits
	takesWork func(view *state.View, id string) bool
	config    string
	open      func() bool
}

// reply is an answer with what a caller learns from it.
type reply struct {
	status  int
	body    []byte
	err     error
	outcome string
	header  http.Header
}

const plainConfig = "[service work]\npool = pool\n"

// newPath starts an entry in front of one endpoint for each behaviour.
func newPath(t *testing.T, o pathOptions, behaviours ...behaviour) *path {
	t.Helper()
	p := &path{
		t: t,
	}
	rows := []store.Row{row(t, fleet.ConfigKey, config.Row{
		Version: 1,
		Body:    []byte(o.config),
	})}
	for number, does := range behaviours {
		e := newEndpoint(t, does)
		p.endpoints = append(p.endpoints, e)
		id := fmt.Sprintf("w%d", number)
		rows = append(rows, row(t, fleet.InstanceKey(id), fleet.Instance{
			ID:      id,
			Pool:    "pool",
			Address: e.address,
			Phase:   fleet.PhaseServing,
		}))
	}
	p.services = entry.NewServices(clock.System(), entry.ServicesOptions{
		QueueLength: 16,
		Entries:     1,
		TakesWork:   o.takesWork,
		NewSender:   func(conns int) *forward.Sender { return forward.NewGuardedSender(conns, o.sender) },
	})
	p.update(rows, nil)
	p.handler = entry.NewHandler(p.services, o.claims, clock.System(), slog.New(slog.DiscardHandler), o.limits, o.guards, o.open)
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	p.handler.Routes(engine)
	p.server = httptest.NewServer(engine)
	t.Cleanup(p.server.Close)
	return p
}

func defaults() pathOptions {
	return pathOptions{
		guards: entry.AllGuards(),
		sender: forward.AllGuards(),
		claims: entry.Claims{
			Claim:   func(context.Context, once.Key, string) error { return nil },
			Release: func(context.Context, once.Key, string) {},
		},
		limits: entry.Limits{
			BufferBody: 4 << 10,
			MaxBody:    1 << 20,
		},
		takesWork: entry.TakesWork,
		config:    plainConfig,
		open:      func() bool { return true },
	}
}

func (p *path) update(rows []store.Row, listed []store.Listed) {
	p.t.Helper()
	view, err := state.BuildView(nil, rows, listed)
	if err != nil {
		p.t.Fatal(err)
	}
	p.view = view
	p.services.Update(view)
	p.services.SetShares(view, "e", func(string) []admit.Claim {
		return []admit.Claim{{
			Entry: "e",
		}}
	})
}

// send sends one request; change may add headers.
func (p *path) send(body []byte, change func(http.Header)) reply {
	p.t.Helper()
	request, err := http.NewRequest(http.MethodPost, p.server.URL+"/call/work/do", bytes.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	request.Header.Set(entry.HeaderKey, uuid.Must(uuid.NewV7()).String())
	request.Header.Set(entry.HeaderDeadline, "2s")
	if change != nil {
		change(request.Header)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return reply{
			err: err,
		}
	}
	defer func() { _ = response.Body.Close() }()
	got := reply{
		status: response.StatusCode,
		header: response.Header,
	}
	got.body, got.err = io.ReadAll(response.Body)
	var problem entry.Problem
	if response.Header.Get("Content-Type") == entry.ProblemType && json.Unmarshal(got.body, &problem) == nil {
		got.outcome = problem.Outcome
	}
	return got
}

// total counts the runs at all endpoints.
func (p *path) total() int {
	total := 0
	for _, e := range p.endpoints {
		e.mu.Lock()
		for _, count := range e.ran {
			total += count
		}
		e.mu.Unlock()
	}
	return total
}

func unrepeatable(header http.Header) {
	header.Set(entry.HeaderUnrepeatable, "true")
}

func newEndpoint(t *testing.T, does behaviour) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{
		address: netip.MustParseAddrPort(listener.Addr().String()),
		ran:     make(map[string]int),
	}
	if does == nil {
		// Nobody listens: connections are refused.
		_ = listener.Close()
		return e
	}
	t.Cleanup(func() { _ = listener.Close() })
	time.AfterFunc(0, func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			time.AfterFunc(0, func() {
				defer func() { _ = conn.Close() }()
				does(conn, e)
			})
		}
	})
	return e
}

// most returns how often the identity ran that ran most.
func (e *endpoint) most() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for _, count := range e.ran {
		most = max(most, count)
	}
	return most
}

// read reads one request whole and counts it.
func (e *endpoint) read(from *bufio.Reader) (*http.Request, bool) {
	request, err := http.ReadRequest(from)
	if err != nil {
		return nil, false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran[request.Header.Get(entry.HeaderKey)]++
	return request, true
}

// answers returns a behaviour that answers each request with what text returns
// and goes on while text returns something.
func answers(text func(request *http.Request, number int) string) behaviour {
	return func(conn net.Conn, e *endpoint) {
		from := bufio.NewReader(conn)
		for number := 0; ; number++ {
			request, ok := e.read(from)
			if !ok {
				return
			}
			answer := text(request, number)
			if answer == "" {
				return
			}
			if _, err := io.WriteString(conn, answer); err != nil || strings.Contains(answer, "Connection: close") {
				return
			}
		}
	}
}

func good(*http.Request, int) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
}

func row(t *testing.T, key string, value any) store.Row {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return store.Row{
		Key:     key,
		Version: 1,
		Value:   body,
	}
}
