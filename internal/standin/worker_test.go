package standin_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
)

const (
	// longestLease is the longest lease of a worker, slowClock how much longer it may take.
	longestLease = 10 * time.Second
	slowClock    = longestLease / 49

	// beyond is beyond the clock of every worker.
	beyond = 2 * time.Hour

	longTask  = `"task":"t.0","runId":2,"spec":"1m"`
	shortTask = `"task":"u.0","runId":1,"spec":"1s"`
)

// restart lets the next life of a enter under the same id, and begins the times of its clock anew.
func (s *script) restart(is *is.I, away time.Duration) {
	s.t.Helper()
	s.fleet.Restart(0, away)
	time.Sleep(away + time.Millisecond)
	is.Equal(s.call("a", "/hold", 0, `"lastSeen":0`), http.StatusOK)
	s.clocks["a"] = time.Duration(s.lists["a"].ClockMs) * time.Millisecond
}

// TestNextIncarnationTakesCallsOfTheFormer covers a worker that starts again under its id: it numbers
// its ends from 1, has seen no fence and no run, and takes a deadline of the former clock. That is cut to
// the longest lease, and is never shortened.
func TestNextIncarnationTakesCallsOfTheFormer(t *testing.T) {
	const ordinary = time.Second
	for name, call := range map[string]func(is *is.I, s *script){
		"poll": func(is *is.I, s *script) {
			is.Equal(s.call("a", "/hold", beyond, `"lastSeen":0`), http.StatusOK)
		},
		"start that is known": func(is *is.I, s *script) {
			is.Equal(s.call("a", "/run-start", beyond, longTask), http.StatusOK)
		},
		"start that is refused as old": func(is *is.I, s *script) {
			is.Equal(s.call("a", "/run-start", beyond, `"task":"t.0","runId":1`), http.StatusConflict)
			is.Equal(s.lists["a"].Reason, "old")
		},
		"start that is refused for want of room": func(is *is.I, s *script) {
			s.fleet.SetFaults(1, standin.CallFaults{
				Full: 1,
			})
			is.Equal(s.call("a", "/run-start", beyond, `"task":"v.0","runId":1`), http.StatusConflict)
			is.Equal(s.lists["a"].Reason, "room")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newScript(t)
				is.Equal(s.call("a", "/run-start", ordinary, shortTask), http.StatusOK)
				is.Equal(s.call("a", "/hold", ordinary, `"lastSeen":0,"fencingToken":7`), http.StatusOK)
				before := s.lists["a"].Born
				s.restart(is, time.Second)
				is.True(s.lists["a"].Born != before)
				is.Equal(len(s.lists["a"].Running), 0)
				is.Equal(len(s.lists["a"].Ends), 0)
				is.Equal(s.call("a", "/run-start", ordinary, longTask), http.StatusOK)
				is.Equal(s.call("a", "/run-start", ordinary, `"task":"x.0","runId":1,"spec":"1m"`), http.StatusOK)
				call(is, s)
				is.Equal(s.call("a", "/hold", ordinary, `"lastSeen":0`), http.StatusOK)
				time.Sleep(longestLease - 10*time.Millisecond)
				is.Equal(s.call("a", "/hold", 0, `"lastSeen":0`), http.StatusOK)
				is.Equal(len(s.lists["a"].Running), 2)
				time.Sleep(slowClock + 10*time.Millisecond)
				is.Equal(s.look("a", 0, 0), []string{"lapsed", "lapsed"})
				is.Equal(s.lists["a"].Ends[0][0], 1.0)
			})
		})
	}
}

// TestLateCallReachesNextIncarnation covers calls that get no answer and that the next life of the
// worker carries out, unless they are the first to reach it.
func TestLateCallReachesNextIncarnation(t *testing.T) {
	for _, isReached := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newScript(t)
			is.Equal(s.call("a", "/hold", 0, `"lastSeen":0`), http.StatusOK)
			before := s.lists["a"].Born
			s.fleet.SetFaults(1, standin.CallFaults{
				LateOrders: 1,
			})
			time.AfterFunc(time.Millisecond, func() { s.fleet.Restart(0, time.Millisecond) })
			reached := make(chan int, 1)
			time.AfterFunc(5*time.Millisecond, func() {
				if !isReached {
					reached <- http.StatusOK
					return
				}
				reached <- s.call("a", "/hold", 0, `"lastSeen":0`)
			})
			is.Equal(s.call("a", "/run-start", beyond, longTask), 0)
			is.Equal(<-reached, http.StatusOK)
			is.Equal(s.call("a", "/hold", 0, `"lastSeen":0`), http.StatusOK)
			is.True(s.lists["a"].Born != before)
			is.Equal(len(s.lists["a"].Running) == 1, isReached)
		})
	}
}

// TestDarkWorkerAnswersNothing covers the time until the next life of a worker enters.
func TestDarkWorkerAnswersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScript(t)
		s.fleet.Restart(0, time.Minute)
		for range 10 {
			is.Equal(s.call("a", "/hold", time.Second, `"lastSeen":0`), 0)
		}
	})
}

// TestRunOnCutOffWorkerCountsAsRunning covers the three kinds of cuts: the run goes on, and a second
// one beside it is noted. Only where the answers alone are lost do calls reach the worker.
func TestRunOnCutOffWorkerCountsAsRunning(t *testing.T) {
	for kind := range standin.CutKinds {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newScript(t)
			is.Equal(s.call("a", "/run-start", longestLease, longTask), http.StatusOK)
			restore := s.fleet.CutOffInstance(0, kind)
			is.Equal(s.call("a", "/run-start", longestLease, `"task":"u.0","runId":1,"spec":"1m"`), 0)
			s.start("b", "t.0", 3, longestLease)
			restore()
			is.Equal(s.call("a", "/hold", longestLease, `"lastSeen":0`), http.StatusOK)
			arrived := len(s.lists["a"].Running) == 2
			is.Equal(arrived, kind == standin.CutAnswers)
			faults, _ := s.oracle.Faults()
			is.Equal(len(faults), 1)
			is.True(strings.HasPrefix(faults[0], "t.0: run 3 starts on b-1@"))
		})
	}
}
