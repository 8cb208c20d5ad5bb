package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
)

// script calls two workers, whose clocks are those of a synctest bubble.
type script struct {
	t       *testing.T
	oracle  *standin.Oracle
	fleet   *standin.Fleet
	workers map[string]http.Handler
	lists   map[string]listed

	// clocks are the times on the clocks of the workers when the script began.
	clocks map[string]time.Duration
}

// listed is a worker's answer to a look, with its last fields left out.
type listed struct {
	Born    int64   `json:"born"`
	ClockMs int64   `json:"clockMs"`
	Reason  string  `json:"reason"`
	Running [][]any `json:"runningCount"`
	Ends    [][]any `json:"endTime"`
}

func newScript(t *testing.T) *script {
	gin.SetMode(gin.ReleaseMode)
	s := &script{
		t:       t,
		oracle:  standin.NewOracle(),
		workers: make(map[string]http.Handler),
		lists:   make(map[string]listed),
		clocks:  make(map[string]time.Duration),
	}
	rows := standin.NewRows()
	s.fleet = standin.NewFleet(rows, s.oracle, "z")
	for _, id := range []string{"a", "b"} {
		handler, up := s.fleet.Add(id, "s")
		up(netip.AddrPort{})
		s.workers[id] = handler
		row, err := rows.Table().Row(t.Context(), outside.Key{
			Table: "servers",
			Name:  id + "-1",
		})
		var registered listed
		if err != nil || json.Unmarshal(row.Value, &registered) != nil {
			t.Fatal("no registration of", id)
		}
		s.clocks[id] = time.Duration(registered.ClockMs) * time.Millisecond
	}
	return s
}

// call sends an order with a lease until a time on the worker's clock, counted from the beginning of the
// script. It returns 0 if it gets no answer within a second.
func (s *script) call(worker, path string, until time.Duration, fields string) (status int) {
	s.t.Helper()
	body := fmt.Sprintf(`{"fencingToken":1,"deadlineMs":%d,%s}`, (s.clocks[worker] + until).Milliseconds(), fields)
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
	defer cancel()
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader([]byte(body)))
	request.Header.Set("Expect-Instance", worker+"-1")
	answer := httptest.NewRecorder()
	defer func() {
		if problem := recover(); problem != nil && problem != any(http.ErrAbortHandler) {
			panic(problem)
		}
	}()
	s.workers[worker].ServeHTTP(answer, request)
	var list listed
	if err := json.Unmarshal(answer.Body.Bytes(), &list); err != nil {
		s.t.Fatal(err)
	}
	s.lists[worker] = list
	time.Sleep(time.Millisecond)
	return answer.Code
}

// start starts a run of a task that takes a second.
func (s *script) start(worker, task string, run int, until time.Duration) {
	s.t.Helper()
	if status := s.call(worker, "/run-start", until, fmt.Sprintf(`"task":%q,"runId":%d,"spec":"1s"`, task, run)); status != http.StatusOK {
		s.t.Fatalf("a start is answered with %d", status)
	}
}

// look acknowledges ends and returns how those that are listed have ended.
func (s *script) look(worker string, acknowledged int, until time.Duration) []string {
	s.t.Helper()
	s.call(worker, "/hold", until, fmt.Sprintf(`"lastSeen":%d`, acknowledged))
	var ends []string
	for _, end := range s.lists[worker].Ends {
		ends = append(ends, fmt.Sprint(end[3]))
	}
	return ends
}

// TestOracleJudgesBothHalvesOfRunningTwice gives each script a task that a runs from 0 to 1 s.
func TestOracleJudgesBothHalvesOfRunningTwice(t *testing.T) {
	const lease = 5 * time.Second
	for name, c := range map[string]struct {
		script func(s *script)
		blamed string
	}{
		"one run": {
			script: func(s *script) {
				time.Sleep(2 * time.Second)
				s.look("a", 1, lease)
			},
		},
		"overlap": {
			script: func(s *script) {
				time.Sleep(time.Second / 2)
				s.start("b", "t", 2, lease)
			},
			blamed: "run 2 starts on b-1",
		},
		"start after an acknowledged end": {
			script: func(s *script) {
				time.Sleep(2 * time.Second)
				s.look("a", 1, lease)
				s.start("b", "t", 2, lease)
			},
			blamed: "after the end of run 1 was acknowledged",
		},
		"end acknowledged after a second start": {
			script: func(s *script) {
				time.Sleep(2 * time.Second)
				s.start("b", "t", 2, lease)
				time.Sleep(time.Second / 2)
				s.look("a", 1, lease)
			},
			blamed: "is acknowledged after run 2 was started",
		},
		"end not acknowledged": {
			script: func(s *script) {
				time.Sleep(2 * time.Second)
				s.start("b", "t", 2, lease)
				s.look("a", 0, lease)
			},
		},
		"lease lapsed between end and acknowledgement": {
			script: func(s *script) {
				time.Sleep(lease + time.Second)
				s.start("b", "t", 2, 2*lease)
				s.look("a", 1, 2*lease)
			},
		},
		"lease lapsed between, start under way at the acknowledgement": {
			script: func(s *script) {
				time.Sleep(lease + time.Second)
				s.look("a", 1, 2*lease)
				time.Sleep(time.Second / 2)
				s.start("b", "t", 2, 2*lease)
			},
		},
		"lease lapsed between, start long after the acknowledgement": {
			script: func(s *script) {
				time.Sleep(lease + time.Second)
				s.look("a", 1, 2*lease)
				time.Sleep(time.Second)
				s.start("b", "t", 2, 2*lease)
			},
			blamed: "after the end of run 1 was acknowledged",
		},
		"lease lapsed after the acknowledgement": {
			script: func(s *script) {
				time.Sleep(2 * time.Second)
				s.start("b", "t", 2, lease)
				s.look("a", 1, lease)
				time.Sleep(lease)
				s.look("a", 1, 2*lease)
			},
			blamed: "is acknowledged after run 2 was started",
		},
		"lease lapsed before the end": {
			script: func(s *script) {
				time.Sleep(lease + time.Second)
				s.start("a", "u", 1, 2*lease)
				time.Sleep(time.Second)
				s.start("b", "u", 2, 2*lease)
				s.look("a", 2, 2*lease)
			},
			blamed: "u: the end of run 1",
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScript(t)
				s.start("a", "t", 1, lease)
				c.script(s)
				faults, _ := s.oracle.Faults()
				if c.blamed == "" && len(faults) > 0 {
					t.Error(faults)
				}
				if c.blamed != "" && (len(faults) != 1 || !strings.Contains(faults[0], c.blamed) || !strings.Contains(faults[0], "\n\trun 1 on a-1@")) {
					t.Errorf("%q is not what is blamed: %q", c.blamed, faults)
				}
			})
		})
	}
}

// TestRunsEndByTheClock covers a worker that nobody calls meanwhile.
func TestRunsEndByTheClock(t *testing.T) {
	const lease = 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScript(t)
		s.start("a", "t.0", 1, lease)
		restore := s.fleet.CutOff("t")
		time.Sleep(4 * time.Second)
		restore()
		is.True(s.fleet.CutOff("t") == nil) // Nothing runs there any more.
		s.start("b", "t.0", 2, 10*time.Second)
		is.Equal(s.look("a", 0, 9*time.Second), []string{"lapsed"})
		s.start("a", "u", 1, 5500*time.Millisecond)
		time.Sleep(5 * time.Second)
		is.Equal(s.look("a", 0, 10*time.Second), []string{"lapsed", "done"}) // Done before its lease lapsed.
		faults, _ := s.oracle.Faults()
		is.Equal(len(faults), 0)
	})
}

// TestWorkerListsFiveHundredEndsAtOnce covers the bound of the platform's protocol: the others are
// listed once the first are acknowledged.
func TestWorkerListsFiveHundredEndsAtOnce(t *testing.T) {
	const tasks, atOnce = 516, 500
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScript(t)
		for i := range tasks {
			s.start("a", fmt.Sprint(i), 1, 5*time.Second)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		is.Equal(len(s.look("a", 0, 5*time.Second)), atOnce)
		is.Equal(s.lists["a"].Ends[0][1], "0") // The oldest first.
		is.Equal(len(s.lists["a"].Running), 0)
		is.Equal(len(s.look("a", atOnce, 5*time.Second)), tasks-atOnce)
		is.Equal(s.lists["a"].Ends[0][1], fmt.Sprint(atOnce))
		is.Equal(len(s.look("a", tasks, 5*time.Second)), 0)
	})
}
