package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// readyPolls is how often a stopping entry is asked; an answer that is good by
	// chance half of the time is found for sure.
	readyPolls = 40

	// callerDeadline is what the callers of these tests say they wait for.
	callerDeadline = 3 * time.Second

	// shortGrace is the grace time of a platform that kills sooner.
	shortGrace = 3 * time.Second

	// stillSent is how long after the word to stop a caller still sends requests over
	// an open connection: the balancer takes an entry out after two misses, a second
	// apart.
	stillSent = 2 * time.Second
)

// openConn is a caller's connection that stays open over several requests.
type openConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// answered is what became of a request over an open connection.
type answered struct {
	// name tells the request in a failure.
	name   string
	status int
	err    error

	// last says that the entry closes the connection after this answer.
	last bool
}

// dial opens a connection that is closed when the test ends.
func dial(t *testing.T, front string) (*openConn, error) {
	t.Helper()
	conn, err := net.Dial("tcp4", front)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &openConn{
		conn:   conn,
		reader: bufio.NewReader(conn),
	}, nil
}

// openTo opens a connection and sends a first request over it, so that it counts as
// one in use.
func openTo(t *testing.T, front string) *openConn {
	t.Helper()
	o, err := dial(t, front)
	if err != nil {
		t.Fatal(err)
	}
	if got := o.request("first", http.MethodGet, "/none", ""); got.err != nil {
		t.Fatal(got.err)
	}
	return o
}

// request sends one whole request and reads the whole answer.
func (o *openConn) request(name, method, path, body string) answered {
	_ = o.conn.SetDeadline(time.Now().Add(patience))
	_, err := fmt.Fprintf(o.conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, callerDeadline.Milliseconds(), len(body), body)
	if err != nil {
		return answered{
			name: name,
			err:  err,
		}
	}
	response, err := http.ReadResponse(o.reader, nil)
	if err != nil {
		return answered{
			name: name,
			err:  err,
		}
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return answered{
		name:   name,
		status: response.StatusCode,
		err:    err,
		last:   response.Close,
	}
}

// awaitReady waits until an entry answers the balancer as wanted.
func (d *deployment) awaitReady(e *entry, want int) {
	d.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if status, _ := call(http.MethodGet, e.ready, "/ready", ""); status == want {
			return
		}
	}
	d.t.Fatalf("readiness is not %d", want)
}

// TestStoppingEntryAnswersWhatItHolds covers callers that keep using an open
// connection of an entry that is being stopped: whatever it has read, it answers
// before it ends, also where it can do nothing about it just then.
func TestStoppingEntryAnswersWhatItHolds(t *testing.T) {
	d := deploy(t)
	for _, e := range d.entries {
		d.awaitReady(e, http.StatusOK)
	}
	// One request for each entry: what one can't do, it refuses the next at once.
	held := []struct {
		name         string
		method, path string
		body         string
	}{
		{"job", http.MethodPost, "/q/00000000000000a0", body},
		{"state", http.MethodGet, "/q/00000000000000a1", ""},
		{"withdrawal", http.MethodDelete, "/q/00000000000000a2", ""},
	}
	conns := make([]*openConn, len(held))
	for i := range held {
		conns[i] = openTo(t, d.entries[i].front)
	}
	// From now on nothing can be taken or read.
	d.faulty.set(storeIsSilent)
	answers := make(chan answered, len(held))
	for i, request := range held {
		e := d.entries[i]
		is.New(t).NoErr(e.command.Process.Signal(syscall.SIGTERM))
		d.awaitReady(e, http.StatusServiceUnavailable)
		d.group.Go("caller", func(context.Context) error {
			time.Sleep(stillSent)
			answers <- conns[i].request(request.name, request.method, request.path, request.body)
			return nil
		})
	}
	for range held {
		got := <-answers
		if got.err != nil {
			t.Errorf("%s: a whole request got no whole answer: %v", got.name, got.err)
		}
	}
	for _, e := range d.entries {
		state, err := e.command.Process.Wait()
		if err != nil || !state.Success() {
			t.Errorf("an entry ended with %v, %v", state, err)
		}
	}
}

// TestStoppingEntryIsNeverReady covers the balancer, which takes an entry back in
// at the first good answer: all of those after the first bad one must be bad.
func TestStoppingEntryIsNeverReady(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	e := d.entries[0]
	d.awaitReady(e, http.StatusOK)
	is.NoErr(e.command.Process.Signal(syscall.SIGTERM))
	d.awaitReady(e, http.StatusServiceUnavailable)
	for i := 0; i < readyPolls; i++ {
		status, _ := call(http.MethodGet, e.ready, "/ready", "")
		is.True(status != http.StatusOK)
	}
}

// TestStopOfOwnerKeepsToShortGraceTime covers a platform that kills after three seconds:
// an entry that can't hand its services over answers what it holds all the same. Its
// wait for the balancer, for a successor and for the release know nothing of the time
// that is left.
func TestStopOfOwnerKeepsToShortGraceTime(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	for _, e := range d.entries {
		settings, err := os.ReadFile(e.settings)
		is.NoErr(err)
		short := strings.Replace(string(settings), "bounds.graceS=6", "bounds.graceS=3", 1)
		is.True(short != string(settings))
		is.NoErr(os.WriteFile(e.settings, []byte(short), 0o600))
		is.NoErr(e.command.Process.Kill())
		_, err = e.command.Process.Wait()
		is.NoErr(err)
		d.start(e)
	}
	d.any(http.MethodPost, "/q/00000000000000b0", body, succeeded)
	for _, e := range d.entries {
		d.awaitReady(e, http.StatusOK)
	}
	conns := make([]*openConn, len(d.entries))
	for i, e := range d.entries {
		conns[i] = openTo(t, e.front)
	}
	d.faulty.set(storeIsSilent)
	answers := make(chan answered, len(conns))
	for i, e := range d.entries {
		is.NoErr(e.command.Process.Signal(syscall.SIGTERM))
		kill := time.AfterFunc(shortGrace, func() { _ = e.command.Process.Kill() })
		t.Cleanup(func() { kill.Stop() })
		d.group.Go("caller", func(context.Context) error {
			time.Sleep(shortGrace / 3)
			answers <- conns[i].request(fmt.Sprintf("state at entry %d", i), http.MethodGet, "/q/00000000000000b1", "")
			return nil
		})
	}
	for range conns {
		got := <-answers
		if got.err != nil {
			t.Errorf("%s: a whole request got no whole answer: %v", got.name, got.err)
		}
	}
}
