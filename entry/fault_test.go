package entry_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lemonstream.dev/lemonstream/entry"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

// Faults of an endpoint, by name.
var faults = map[string]behaviour{
	"refuses connections": nil,
	"closes at once":      func(net.Conn, *endpoint) {},
	"closes on a byte": func(conn net.Conn, _ *endpoint) {
		_, _ = conn.Read(make([]byte, 1))
	},
	"dies on the request": answers(func(*http.Request, int) string { return "" }),
	"answers half": answers(func(*http.Request, int) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nConnection: close\r\n\r\nhalf"
	}),
	"talks nonsense": answers(func(*http.Request, int) string { return "no protocol\r\n\r\n" }),
	"never answers": answers(func(*http.Request, int) string {
		time.Sleep(4 * time.Second)
		return ""
	}),
	"answers another request": answers(func(*http.Request, int) string {
		return "HTTP/1.1 200 OK\r\nLemonstream-Request-Id: another\r\nContent-Length: 5\r\n\r\nwrong"
	}),
	"fails everything": answers(func(*http.Request, int) string {
		return "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
	}),
}

func TestUnrepeatableOnFaultyEndpoint(t *testing.T) {
	cases := map[string]struct {
		status  int
		outcome string
		ran     int
	}{
		"refuses connections": {
			status:  http.StatusBadGateway,
			outcome: entry.OutcomeNotRun,
			ran:     0,
		},
		"closes on a byte": {
			status:  http.StatusBadGateway,
			outcome: entry.OutcomeUnknown,
			ran:     0,
		},
		"dies on the request": {
			status:  http.StatusBadGateway,
			outcome: entry.OutcomeUnknown,
			ran:     1,
		},
		"answers half": {
			status:  http.StatusBadGateway,
			outcome: entry.OutcomeUnknown,
			ran:     1,
		},
		"talks nonsense": {
			status:  http.StatusBadGateway,
			outcome: entry.OutcomeUnknown,
			ran:     1,
		},
		"never answers": {
			status:  http.StatusGatewayTimeout,
			outcome: entry.OutcomeUnknown,
			ran:     1,
		},
		"answers another request": {
			status:  http.StatusBadGateway,
			outcome: entry.OutcomeUnknown,
			ran:     1,
		},
		"fails everything": {
			status:  http.StatusInternalServerError,
			outcome: "",
			ran:     1,
		},
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newPath(t, defaults(), faults[name])
			got := p.send([]byte("body"), unrepeatable)
			is.NoErr(got.err)
			is.Equal(got.status, want.status)
			is.Equal(got.outcome, want.outcome)
			is.Equal(p.total(), want.ran)
			if got.outcome == entry.OutcomeNotRun {
				is.True(got.header.Get("Retry-After") != "") // What may pass says when to come back.
			}
		})
	}
}

// TestClosedBeforeOrAfterTheFirstByte meets an endpoint that closes at once. The
// entry may notice before it wrote a byte or after; either way its word is true.
func TestClosedBeforeOrAfterTheFirstByte(t *testing.T) {
	is := is.New(t)
	p := newPath(t, defaults(), faults["closes at once"])
	for range 50 {
		got := p.send([]byte("body"), unrepeatable)
		is.True(got.outcome == entry.OutcomeUnknown || got.outcome == entry.OutcomeNotRun)
		is.True(got.header.Get("Retry-After") != "")
	}
	is.Equal(p.total(), 0)
}

func TestRepeatableFindsGoodEndpoint(t *testing.T) {
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newPath(t, defaults(), fault, answers(good))
			for range 8 {
				got := p.send([]byte("body"), nil)
				is.NoErr(got.err)
				if name == "never answers" && got.status == http.StatusGatewayTimeout {
					// A request that waited until its deadline has no time left.
					continue
				}
				is.Equal(string(got.body), "whole")
			}
		})
	}
}

func TestNotRunDidNotRun(t *testing.T) {
	prove.Scenario(t, prove.NotRun, "bytes-written", func(on bool) string {
		o := defaults()
		if !on {
			o.sender.Arrived = func(int64, int64) bool { return false }
		}
		p := newPath(t, o, faults["dies on the request"])
		if got := p.send([]byte("body"), unrepeatable); got.outcome == entry.OutcomeNotRun && p.total() > 0 {
			return "a request refused as not-run ran"
		}
		return ""
	})
}

// TestTransportDoesNotResend meets net/http's own repeats: a reused connection
// that breaks is a reason for it to send a request with an Idempotency-Key
// again, by itself.
func TestTransportDoesNotResend(t *testing.T) {
	prove.Scenario(t, prove.AtMostOnce, "hidden-body", func(on bool) string {
		o := defaults()
		if !on {
			o.sender.Hide = func(body io.Reader) io.Reader { return body }
		}
		p := newPath(t, o, answers(func(r *http.Request, number int) string {
			if number == 0 {
				return good(r, number)
			}
			return ""
		}))
		if got := p.send(nil, unrepeatable); string(got.body) != "whole" {
			return "the first request failed"
		}
		p.send([]byte("body"), unrepeatable)
		if p.endpoints[0].most() > 1 {
			return "an unrepeatable request ran more than once"
		}
		return ""
	})
}

func TestAnswerOfAnotherRequest(t *testing.T) {
	prove.Scenario(t, prove.WholeAnswer, "request-id", func(on bool) string {
		o := defaults()
		if !on {
			o.guards.Echoes = func(string, string) bool { return true }
		}
		p := newPath(t, o, faults["answers another request"])
		if got := p.send([]byte("body"), nil); string(got.body) == "wrong" {
			return "a caller got the answer to another request"
		}
		return ""
	})
}

func TestBrokenAnswer(t *testing.T) {
	prove.Scenario(t, prove.WholeAnswer, "broken-answer", func(on bool) string {
		o := defaults()
		if !on {
			o.guards.Broken = func(error) error { return nil }
		}
		p := newPath(t, o, faults["answers half"])
		if got := p.send([]byte("body"), nil); got.err == nil && got.status == http.StatusOK {
			return "half an answer passed for whole"
		}
		return ""
	})
}

func TestLargeBrokenAnswerIsVisible(t *testing.T) {
	is := is.New(t)
	large := strings.Repeat("x", 20_000)
	p := newPath(t, defaults(), answers(func(*http.Request, int) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\nConnection: close\r\n\r\n" + large
	}))
	got := p.send([]byte("body"), nil)
	is.Equal(got.status, http.StatusOK)
	is.True(errors.Is(got.err, io.ErrUnexpectedEOF)) // The caller sees that it broke off.
}

func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	leaving := map[string]func(instance *fleet.Instance, line *store.Listed){
		"row":  func(instance *fleet.Instance, _ *store.Listed) { instance.Phase = fleet.PhaseDraining },
		"list": func(_ *fleet.Instance, line *store.Listed) { line.State = store.ListedLeaving },
	}
	for name, leave := range leaving {
		t.Run(name, func(t *testing.T) {
			prove.Scenario(t, prove.Leaving, "takes-work-"+name, func(on bool) string {
				o := defaults()
				if !on {
					o.takesWork = func(*state.View, string) bool { return true }
				}
				p := newPath(t, o, answers(good), answers(good))
				instance := p.view.Instances["w0"]
				line := store.Listed{
					ID:      "w0",
					Address: instance.Address,
					State:   store.ListedLive,
				}
				leave(&instance, &line)
				rows := []store.Row{
					p.view.Rows[fleet.ConfigKey],
					row(t, fleet.InstanceKey("w0"), instance),
					p.view.Rows[fleet.InstanceKey("w1")],
				}
				p.update(rows, []store.Listed{line})
				for range 40 {
					p.send([]byte("body"), func(h http.Header) { h.Set(entry.HeaderSession, "bay") })
					p.send([]byte("body"), nil)
				}
				if p.endpoints[0].most() > 0 {
					return "a leaving endpoint got new work"
				}
				return ""
			})
		})
	}
}

// TestSessionWaitsForItsSlot sends many requests of one session at once to an
// endpoint of eight slots.
func TestSessionWaitsForItsSlot(t *testing.T) {
	is := is.New(t)
	p := newPath(t, defaults(), answers(func(r *http.Request, number int) string {
		time.Sleep(20 * time.Millisecond)
		return good(r, number)
	}), answers(good))
	var sending errgroup.Group
	for range 16 {
		sending.Go(func() error {
			got := p.send(nil, func(h http.Header) { h.Set(entry.HeaderSession, "bay") })
			if string(got.body) != "whole" {
				return fmt.Errorf("got %d %s", got.status, got.body)
			}
			return nil
		})
	}
	is.NoErr(sending.Wait())
}

// TestRequestsOfAnEarlierBootCount has the list show a restart while a request
// is in flight at the process that runs already. The entry's word on the
// instance must still count that request.
func TestRequestsOfAnEarlierBootCount(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{})
	finish := make(chan struct{})
	p := newPath(t, defaults(), answers(func(r *http.Request, number int) string {
		close(arrived)
		<-finish
		return good(r, number)
	}))
	var sending errgroup.Group
	sending.Go(func() error {
		if got := p.send(nil, nil); string(got.body) != "whole" {
			return fmt.Errorf("got %d", got.status)
		}
		return nil
	})
	<-arrived
	instance := p.view.Instances["w0"]
	instance.Phase = fleet.PhaseDraining
	p.update([]store.Row{
		p.view.Rows[fleet.ConfigKey],
		row(t, fleet.InstanceKey("w0"), instance),
	}, []store.Listed{{
		ID:      "w0",
		Address: instance.Address,
		State:   store.ListedLive,
		Boot:    7,
	}})
	is.Equal(p.services.Held(p.view)["w0"].Count, 1)
	close(finish)
	is.NoErr(sending.Wait())
	is.Equal(p.services.Held(p.view)["w0"].Count, 0)
}
