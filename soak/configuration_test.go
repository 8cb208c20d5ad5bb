package soak_test

import (
	"context"
	"encoding/json"
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
	// applyBound is the time after which no answer may rest on an older configuration, and
	// outageBound the same for what owners say of routes that are known.
	applyBound  = 2 * time.Second
	outageBound = 8 * time.Second

	// routeLife is for how many versions a route is in the configuration.
	routeLife = 4

	configurationCallers = 4
	configurationRounds  = 8
)

// routes is the operator's side: each version adds a route and drops an old one.
type routes struct {
	*deployment

	// over is set once the last trouble has ended.
	over atomic.Bool

	mu sync.Mutex

	// acknowledged holds when each version was.
	acknowledged map[int]time.Time

	faults  []string
	asked   int
	answers map[int]int
}

// TestNoAnswerRestsOnAnOldConfiguration is the short seeded run; see TestJobsSurviveFaultsOfEntries.
// Routes come and go in series beside silent and refusing stores, entries that are cut off from it,
// frozen, killed and stopped, and signals. Callers ask for routes that were just added and
// dropped, on connections that stay open until the process is gone.
func TestNoAnswerRestsOnAnOldConfiguration(t *testing.T) {
	forSeeds(t, changeRoutes)
}

func changeRoutes(t *testing.T, seed int64) {
	s := &routes{
		acknowledged: make(map[int]time.Time),
		answers:      make(map[int]int),
	}
	s.deployment = deployPlan(t, plan{
		entries:       entries,
		instances:     instances,
		services:      []string{"s"},
		configuration: configurationOf,
	})
	s.acknowledged[s.version] = time.Now()
	for _, e := range s.entries {
		s.awaitReady(e, http.StatusOK)
	}
	var callers sync.WaitGroup
	for i := range len(s.entries) * configurationCallers {
		callers.Add(1)
		s.group.Go("caller", func(context.Context) error {
			defer callers.Done()
			s.callOn(s.entries[i%len(s.entries)], rand.New(rand.NewSource(seed<<8|int64(i))), seed, i)
			return nil
		})
	}
	random := rand.New(rand.NewSource(seed))
	for range configurationRounds {
		s.trouble(random)
		for range random.Intn(4) {
			s.change()
			time.Sleep(time.Duration(random.Intn(700)) * time.Millisecond)
		}
		s.mend(false)
	}
	s.mend(true)
	s.change()
	for _, e := range s.entries {
		s.awaitRoute(e)
	}
	s.over.Store(true)
	callers.Wait()
	for _, fault := range s.faults {
		t.Error(fault)
	}
	t.Logf("seed %d: %d versions, %d requests, answers %v, %d faults", seed, s.version, s.asked, s.answers, len(s.faults))
}

// configurationOf returns the version's configuration, which has routes of the last versions.
func configurationOf(version int) string {
	type route map[string]any
	var list []route
	for v := version; v > max(0, version-routeLife); v-- {
		list = append(list, route{
			"name": fmt.Sprintf("v%d", v), "host": "h.example", "pathPrefix": fmt.Sprintf("/v%d/", v), "timeoutMs": 3000,
			"targetLatencyMs": 600, "priority": 0, "service": "s", "maxAttempts": 3, "stretch": 1.6,
		})
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf(`{"version":%d,"routes":%s,"services":[{"name":"s","rejectsOverload":true},`+
		`{"name":"z","rejectsOverload":true,"headroom":true}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,`+
		`"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, text)
}

// change puts the next version in force.
func (s *routes) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.configure()
	s.acknowledged[s.version] = time.Now()
}

// trouble breaks the store, an entry's link to it or an entry for some time, beside what is broken
// already.
func (s *routes) trouble(random *rand.Rand) {
	e := s.entries[random.Intn(len(s.entries))]
	until := time.Now().Add(time.Duration(300+random.Intn(4500)) * time.Millisecond)
	switch random.Intn(7) {
	case 0, 1:
		faults := []linkFault{linkIsSilent, linkIsMute, linkHoldsUp, linkSilencesOpen, linkResets}
		fault := faults[random.Intn(len(faults))]
		for _, e := range s.entries {
			e.link.set(fault)
		}
		s.mendAt(until, func() {
			for _, e := range s.entries {
				e.link.set(linkPasses)
			}
		})
	case 2:
		e.link.set(linkIsSilent)
		s.mendAt(until, func() { e.link.set(linkPasses) })
	case 3:
		s.faulty.set(storeFault(1 + random.Intn(int(storeFaultCount)-1)))
		s.mendAt(until, func() { s.faulty.set(storeWorks) })
	case 4:
		_ = e.command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(500+random.Intn(3500)) * time.Millisecond)
		_ = e.command.Process.Signal(syscall.SIGCONT)
	case 5:
		_ = e.command.Process.Signal(syscall.SIGHUP)
		_ = e.command.Process.Signal(syscall.SIGTERM)
		_, _ = e.command.Process.Wait()
		s.start(e)
	default:
		s.rows.Forget()
		_ = e.command.Process.Signal(syscall.SIGKILL)
		_, _ = e.command.Process.Wait()
		s.start(e)
	}
}

// awaitRoute waits until an entry serves the newest route.
func (s *routes) awaitRoute(e *entry) {
	path := fmt.Sprintf("/v%d/", s.version)
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status, _ := call(http.MethodGet, e.front, path, ""); status == http.StatusOK {
			return
		}
	}
	s.t.Errorf("%s does not serve the route of version %d", e.front, s.version)
}

// callOn asks one entry for routes over one connection, and opens another one once that was closed.
func (s *routes) callOn(e *entry, random *rand.Rand, seed int64, number int) {
	var conn *openConn
	for i := 0; !s.over.Load(); i++ {
		time.Sleep(time.Duration(5+random.Intn(60)) * time.Millisecond)
		if conn == nil {
			opened, err := dial(s.t, e.front)
			if err != nil {
				continue
			}
			conn = opened
		}
		s.mu.Lock()
		route := max(1, s.version-random.Intn(2*routeLife))
		s.mu.Unlock()
		method, path, sending := http.MethodGet, fmt.Sprintf("/v%d/", route), ""
		if random.Intn(3) == 0 {
			method, sending = http.MethodPost, body
			path += fmt.Sprintf("%016x", seed<<40|int64(number)<<24|int64(i))
		}
		sent := time.Now()
		got := conn.request(path, method, path, sending)
		if got.err != nil || got.last {
			conn = nil
		}
		s.judge(got, method, route, sent)
	}
}

// judge records an answer that only a configuration allows that was too old when the request was sent.
func (s *routes) judge(got answered, method string, route int, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	s.answers[got.status]++
	added, known := s.acknowledged[route]
	dropped, gone := s.acknowledged[route+routeLife]
	bound := applyBound
	if method == http.MethodGet {
		bound = outageBound
	}
	if got.status == http.StatusNotFound && known && !gone && sent.Sub(added) > applyBound {
		s.faults = append(s.faults, fmt.Sprintf("%s %s: 404, and its route was added %v before", method, got.name, sent.Sub(added)))
	}
	if got.status == http.StatusOK && gone && sent.Sub(dropped) > bound {
		s.faults = append(s.faults, fmt.Sprintf("%s %s: served, and its route was dropped %v before", method, got.name, sent.Sub(dropped)))
	}
}
