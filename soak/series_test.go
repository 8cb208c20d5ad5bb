package soak_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// seriesCallers is how many callers keep using open connections meanwhile, and
	// callerPause the longest time between two requests of one.
	seriesCallers = 12
	callerPause   = 800 * time.Millisecond

	// seriesCount is how many series of planned stops overlap.
	seriesCount = 2

	// seriesPause is the longest time between two stops of a series.
	seriesPause = 800 * time.Millisecond

	// cutSlack is how long after its last byte a request may lose its connection: it
	// was on its way while an idle connection was closed. What an entry holds for
	// longer it has read. The platform's own bound is shorter; this one leaves room
	// for a busy machine.
	cutSlack = time.Second
)

// series stops and starts entries one after the other while callers call.
type series struct {
	*deployment

	// stopping holds one lock for each entry: whoever has it starts the entry again.
	stopping []sync.Mutex

	// over is set once the last series has ended.
	over atomic.Bool

	mu sync.Mutex

	// accepted holds the jobs that were answered with success, withdrawn those whose withdrawal was
	// acknowledged, of those that were not.
	accepted  []string
	withdrawn []string
	faults    []string
	requests  int
	reopened  int

	// mostMB is the most memory that an entry had, in megabytes, where it is watched.
	mostMB int

	// answers counts the answers to callers by their status, 0 for none.
	answers map[int]int
}

// TestPlannedStopsCutNoRequest is the short seeded run; see TestJobsSurviveFaultsOfEntries. Entries
// are stopped and started in series that overlap, with new configurations and signals
// in between, while callers keep using their connections until the process is gone.
func TestPlannedStopsCutNoRequest(t *testing.T) {
	forSeeds(t, planned)
}

func planned(t *testing.T, seed int64) {
	s := &series{
		deployment: deploy(t),
	}
	s.stopping = make([]sync.Mutex, len(s.entries))
	for _, e := range s.entries {
		s.awaitReady(e, http.StatusOK)
	}
	s.any(http.MethodPost, fmt.Sprintf("/q/%016x", seed<<32), body, succeeded)
	var callers, stops sync.WaitGroup
	for i := 0; i < seriesCallers; i++ {
		callers.Add(1)
		s.group.Go("caller", func(context.Context) error {
			defer callers.Done()
			s.callOn(i, rand.New(rand.NewSource(seed<<8|int64(i))), seed)
			return nil
		})
	}
	for i := 0; i < seriesCount; i++ {
		stops.Add(1)
		s.group.Go("series", func(context.Context) error {
			defer stops.Done()
			s.stopAll(rand.New(rand.NewSource(seed<<8 | int64(0x80+i))))
			return nil
		})
	}
	stops.Wait()
	s.over.Store(true)
	callers.Wait()
	for _, fault := range s.faults {
		t.Error(fault)
	}
	for _, id := range s.accepted {
		s.any(http.MethodGet, "/q/"+id, "", completed)
	}
	faults, starts := s.oracle.Faults()
	for _, fault := range faults {
		t.Error(fault)
	}
	t.Logf("seed %d: %d requests, %d jobs accepted, %d connections opened again, %d starts", seed, s.requests, len(s.accepted), s.reopened, starts)
}

// stopAll stops every entry once, in an order of its own.
func (s *series) stopAll(random *rand.Rand) {
	for _, index := range random.Perm(len(s.entries)) {
		time.Sleep(time.Duration(random.Int63n(int64(seriesPause))))
		if random.Intn(2) == 0 {
			s.reconfigure()
		}
		s.stop(index, random.Intn(3) == 0)
	}
}

// stop stops an entry in order and starts it again. An entry that another series is
// stopping just now gets the signal once more.
func (s *series) stop(index int, hangup bool) {
	e := s.entries[index]
	if !s.stopping[index].TryLock() {
		s.signal(e, syscall.SIGTERM)
		return
	}
	defer s.stopping[index].Unlock()
	if hangup {
		s.signal(e, syscall.SIGHUP)
	}
	s.signal(e, syscall.SIGTERM)
	state, err := e.command.Process.Wait()
	if err != nil || !state.Success() {
		s.fault("an entry that was stopped in order ended with %v, %v", state, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start(e)
}

// signal sends a signal to the entry's process of this moment.
func (s *series) signal(e *entry, signal syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A process that has just ended takes no signal; that is no fault.
	_ = e.command.Process.Signal(signal)
}

func (s *series) reconfigure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.configure()
}

func (s *series) fault(format string, fields ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, fields...))
}

// callOn hands in job after job over one connection, until the series are over. It
// opens another one, at an entry that the balancer would choose, only once its own
// was closed.
func (s *series) callOn(number int, random *rand.Rand, seed int64) {
	var conn *openConn
	for job := 1; !s.over.Load(); job++ {
		id := fmt.Sprintf("%016x", seed<<32|int64(number)<<16|int64(job))
		if s.deliver(&conn, random, id) {
			s.mu.Lock()
			s.accepted = append(s.accepted, id)
			s.mu.Unlock()
		}
		time.Sleep(time.Duration(random.Int63n(int64(callerPause))))
	}
}

// deliver hands in one job until it is accepted.
func (s *series) deliver(conn **openConn, random *rand.Rand, id string) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if *conn == nil {
			*conn = s.open(random)
			continue
		}
		sent := time.Now()
		got := (*conn).request(id, http.MethodPost, "/q/"+id, body)
		s.mu.Lock()
		s.requests++
		s.mu.Unlock()
		if held := time.Since(sent); got.err != nil && held > cutSlack {
			s.fault("job %s: a whole request got no whole answer, after %s: %v", id, held, got.err)
		}
		if got.err != nil || got.last {
			*conn = nil
		}
		if got.status == http.StatusOK {
			return true
		}
	}
	s.fault("job %s was not accepted", id)
	return false
}

// open connects to an entry that calls itself ready; nil where none did just now.
func (s *series) open(random *rand.Rand) *openConn {
	e := s.entries[random.Intn(len(s.entries))]
	if status, _ := call(http.MethodGet, e.ready, "/ready", ""); status != http.StatusOK {
		return nil
	}
	conn, err := dial(s.t, e.front)
	if err != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reopened++
	return conn
}
