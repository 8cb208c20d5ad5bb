package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/entry"
	"lemonstream.dev/lemonstream/once"
)

func TestBadRequests(t *testing.T) {
	cases := map[string]struct {
		change func(http.Header)
		body   []byte
		status int
	}{
		"unrepeatable without a time of issue": {
			change: func(h http.Header) { unrepeatable(h); h.Set(entry.HeaderKey, "bay-7") },
			status: http.StatusBadRequest,
		},
		"mark that is no truth value": {
			change: func(h http.Header) { h.Set(entry.HeaderUnrepeatable, "perhaps") },
			status: http.StatusBadRequest,
		},
		"deadline that is no duration": {
			change: func(h http.Header) { h.Set(entry.HeaderDeadline, "soon") },
			status: http.StatusBadRequest,
		},
		"deadline too long": {
			change: func(h http.Header) { h.Set(entry.HeaderDeadline, "24h") },
			status: http.StatusBadRequest,
		},
		"urgency unknown": {
			change: func(h http.Header) { h.Set(entry.HeaderUrgency, "yesterday") },
			status: http.StatusBadRequest,
		},
		"two identities": {
			change: func(h http.Header) { h.Add(entry.HeaderKey, "another") },
			status: http.StatusBadRequest,
		},
		"body too large": {
			body:   make([]byte, 2<<20),
			status: http.StatusRequestEntityTooLarge,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPath(t, defaults(), answers(good))
			got := p.send(c.body, c.change)
			is.Equal(got.status, c.status)
			is.Equal(got.outcome, entry.OutcomeNotRun)
			is.Equal(p.total(), 0)
		})
	}
}

func TestRawCallers(t *testing.T) {
	cases := map[string]struct {
		text string
		want string
	}{
		"unknown method": {
			text: "BREW /call/work/ HTTP/1.1\r\nHost: a\r\n\r\n",
			want: "405",
		},
		"no host": {
			text: "GET /call/work/ HTTP/1.1\r\n\r\n",
			want: "400",
		},
		"two lengths": {
			text: "POST /call/work/ HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
			want: "400",
		},
		"length and chunks": {
			text: "POST /call/work/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n",
			want: "200",
		},
		"space before the colon": {
			text: "GET /call/work/ HTTP/1.1\r\nHost: a\r\nX-Y : z\r\n\r\n",
			want: "400",
		},
		"unknown transfer encoding": {
			text: "POST /call/work/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
			want: "501",
		},
		"half-closed in the body": {
			text: "POST /call/work/ HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nshort",
			want: "400",
		},
		"path outside of the routes": {
			text: "GET /elsewhere HTTP/1.1\r\nHost: a\r\n\r\n",
			want: "404",
		},
		"unknown service": {
			text: "GET /call/nothing/ HTTP/1.1\r\nHost: a\r\n\r\n",
			want: "404",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPath(t, defaults(), answers(good))
			conn, err := net.Dial("tcp", p.server.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, c.text)
			is.NoErr(err)
			if strings.Contains(name, "half-closed") {
				is.NoErr(conn.(*net.TCPConn).CloseWrite())
			}
			line, err := bufio.NewReader(conn).ReadString('\n')
			is.NoErr(err)
			if !strings.Contains(line, c.want) {
				t.Errorf("got %q, want a status of %s", line, c.want)
			}
		})
	}
}

func TestRefusedClaimRunsNothing(t *testing.T) {
	is := is.New(t)
	o := defaults()
	o.claims.Claim = func(context.Context, once.Key, string) error {
		return &once.UnclaimedError{
			Verdict: once.Duplicate,
		}
	}
	p := newPath(t, o, answers(good))
	got := p.send([]byte("body"), unrepeatable)
	is.Equal(got.status, http.StatusConflict)
	is.Equal(got.outcome, entry.OutcomeUnknown) // Another attempt may have run.
	is.Equal(got.header.Get("Retry-After"), "") // Coming back is of no use.
	is.Equal(p.total(), 0)
}

func TestUnregisteredEntrySendsNothing(t *testing.T) {
	is := is.New(t)
	o := defaults()
	o.open = func() bool { return false }
	p := newPath(t, o, answers(good))
	got := p.send([]byte("body"), nil)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.outcome, entry.OutcomeNotRun)
	is.Equal(got.header.Get("Retry-After"), "1")
	is.Equal(p.total(), 0)
}

func TestUnusedGrantIsGivenBack(t *testing.T) {
	is := is.New(t)
	released := 0
	o := defaults()
	o.claims.Release = func(context.Context, once.Key, string) { released++ }
	p := newPath(t, o, faults["refuses connections"])
	p.send([]byte("body"), unrepeatable)
	is.Equal(released, 1)

	p = newPath(t, o, faults["dies on the request"])
	p.send([]byte("body"), unrepeatable)
	is.Equal(released, 1) // What may have run keeps its grant.
}

func TestQuotaRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	o := defaults()
	o.config = plainConfig + "[team vans]\nrate = 1\nburst = 2\n"
	p := newPath(t, o, answers(good))
	team := func(name string) func(http.Header) {
		return func(h http.Header) { h.Set(entry.HeaderTeam, name) }
	}
	begin := time.Now()
	statuses := ""
	for range 4 {
		statuses += fmt.Sprint(p.send(nil, team("vans")).status) + " "
	}
	is.Equal(statuses, "200 200 429 429 ")
	is.True(time.Since(begin) < 30*time.Second) // Refusals are not held back.
	is.Equal(p.send(nil, team("strangers")).status, http.StatusForbidden)
}

func TestLargeBodiesAreStreamedWhole(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("0123456789abcdef", 30_000)
	p := newPath(t, defaults(), func(conn net.Conn, e *endpoint) {
		from := bufio.NewReader(conn)
		request, err := http.ReadRequest(from)
		if err != nil {
			return
		}
		got, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(got), got)
	})
	got := p.send([]byte(body), nil)
	is.NoErr(got.err)
	is.Equal(len(got.body), len(body))
	is.True(string(got.body) == body)
}
