package route_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/route"
)

func endpoints(count int) []*route.Endpoint {
	some := make([]*route.Endpoint, 0, count)
	for number := range count {
		one := route.NewEndpoint(fmt.Sprintf("w%d", number), "z", netip.AddrPort{}, 1)
		one.SetLimit(8)
		some = append(some, one)
	}
	return some
}

// homes returns the endpoint of each of many sessions.
func homes(s *route.Service) map[uint64]string {
	at := make(map[uint64]string)
	for session := uint64(1); session <= 3000; session++ {
		key := session * 0x9e3779b97f4a7c15
		e, _ := s.Choose(route.Request{
			Session: key,
		})
		at[key] = e.ID
		e.Release()
	}
	return at
}

func TestOnlyLeaversSessionsMove(t *testing.T) {
	is := is.New(t)
	all := endpoints(12)
	before := homes(route.NewService("s", all, 0.34))
	same := homes(route.NewService("s", endpoints(12), 0.34))
	after := homes(route.NewService("s", all[1:], 0.34))
	load := make(map[string]int)
	for session, id := range before {
		is.Equal(same[session], id) // The same endpoint from any entry.
		if id != "w0" {
			is.Equal(after[session], id) // Only the leaver's sessions move.
		}
		load[id]++
	}
	for id, count := range load {
		if count < 150 || count > 350 {
			t.Errorf("%s has %d of 3000 sessions, about 250 expected", id, count)
		}
	}
}

func TestFailingEndpointIsEjectedWithinBounds(t *testing.T) {
	is := is.New(t)
	all := endpoints(6)
	s := route.NewService("s", all, 0.34)
	now := int64(1_000_000)
	ejected := func() int {
		count := 0
		for _, e := range all {
			if e.Ejected(now) {
				count++
			}
		}
		return count
	}
	fail := func(e *route.Endpoint) {
		for range 10 {
			if e.Acquire(false) {
				s.Done(e, now, time.Millisecond, true)
			}
		}
	}
	fail(all[0])
	is.True(all[0].Ejected(now))
	for range 200 {
		e, _ := s.Choose(route.Request{
			Now:    now,
			Random: uint64(now) * 0x9e3779b97f4a7c15,
		})
		is.True(e != all[0]) // It attracts nothing, though it answers fastest.
		e.Release()
		now++
	}
	for _, e := range all {
		fail(e)
	}
	is.Equal(ejected(), 2) // A fault of the whole service does not empty it.
	now += 60_000
	is.Equal(ejected(), 0) // Every ejection ends.
}

func TestSlotsAreNeverPassed(t *testing.T) {
	is := is.New(t)
	all := endpoints(2)
	s := route.NewService("s", all, 0.34)
	taken := 0
	for random := uint64(0); ; random += 0x9e3779b97f4a7c15 {
		e, why := s.Choose(route.Request{
			Random: random,
		})
		if e == nil {
			is.Equal(why, route.ReasonFull)
			break
		}
		taken++
	}
	is.Equal(taken, 16)
}

func TestClosedEndpointTakesNothing(t *testing.T) {
	is := is.New(t)
	e := endpoints(1)[0]
	is.True(e.Acquire(false))
	e.Close()
	is.True(!e.Acquire(true))
	is.Equal(e.InFlight(), 1) // What was in flight stays counted.
	e.Open()
	is.True(e.Acquire(false))
}
