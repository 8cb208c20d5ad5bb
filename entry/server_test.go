package entry_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/entry"
)

// stopTimeout is how long the server of this test may take to stop; the endpoint
// takes longer than that for its answer.
const stopTimeout = 2 * time.Second

// TestStoppingServerAnswersWhatItHolds covers a request whose endpoint outlasts the
// stop timeout: its caller is told that the outcome is open, not cut off.
func TestStoppingServerAnswersWhatItHolds(t *testing.T) {
	is := is.New(t)
	p := newPath(t, defaults(), faults["never answers"])
	server := entry.NewServer(p.handler, clock.System(), entry.ServerOptions{
		Address:    netip.MustParseAddrPort("127.0.0.1:0"),
		MaxCallers: 4,
	})
	is.NoErr(server.Listen())
	served := make(chan error, 1)
	time.AfterFunc(0, func() { served <- server.Serve(context.Background()) })
	p.server.URL = "http://" + server.Address().String()
	answer := make(chan reply, 1)
	time.AfterFunc(0, func() {
		answer <- p.send(nil, func(header http.Header) { header.Set(entry.HeaderDeadline, "4s") })
	})
	for p.total() == 0 {
		time.Sleep(time.Millisecond)
	}
	finishing, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	is.NoErr(server.Shutdown(finishing))
	got := <-answer
	is.NoErr(got.err)
	is.Equal(got.outcome, entry.OutcomeUnknown)
	is.NoErr(<-served)
}

// TestStoppingServerAnswersWhoWaitsForAConnection covers a caller beyond the limit of
// connections, whose whole request waits for another caller to leave when the server
// stops: it is answered like those that are held.
func TestStoppingServerAnswersWhoWaitsForAConnection(t *testing.T) {
	is := is.New(t)
	p := newPath(t, defaults(), faults["never answers"])
	server := entry.NewServer(p.handler, clock.System(), entry.ServerOptions{
		Address:    netip.MustParseAddrPort("127.0.0.1:0"),
		MaxCallers: 1,
	})
	is.NoErr(server.Listen())
	served := make(chan error, 1)
	time.AfterFunc(0, func() { served <- server.Serve(context.Background()) })
	p.server.URL = "http://" + server.Address().String()
	answers := make(chan reply, 2)
	send := func() {
		answers <- p.send(nil, func(header http.Header) { header.Set(entry.HeaderDeadline, "4s") })
	}
	time.AfterFunc(0, send)
	for p.total() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.AfterFunc(0, send)
	time.Sleep(stopTimeout / 4) // Longer than a request may be lost without being counted.
	finishing, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	is.NoErr(server.Shutdown(finishing))
	outcomes := make(map[string]int)
	for range cap(answers) {
		got := <-answers
		is.NoErr(got.err)
		outcomes[got.outcome]++
	}
	is.Equal(outcomes, map[string]int{
		entry.OutcomeUnknown: 1,
		entry.OutcomeNotRun:  1, // It was never sent.
	})
	is.Equal(p.total(), 1)
	is.NoErr(<-served)
}
