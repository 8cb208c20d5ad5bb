package soak_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lemonstream.dev/lemonstream/outside"
)

const (
	// brokenFor is how long faults overlap, breakPause the longest time between two of one kind.
	brokenFor  = 20 * time.Second
	breakPause = time.Second

	// ownedEntries is how many entries there are unless SOAK_ENTRIES says otherwise.
	ownedEntries   = 5
	ownedInstances = 9

	// shortestTask and longestTask bound how long tasks run.
	shortestTask = 50 * time.Millisecond
	longestTask  = 3 * time.Second

	// longestFault bounds faults of one entry, longestOutage those of the whole store and of
	// links. graceTime is how long a process has to stop in order.
	longestFault  = 4500 * time.Millisecond
	longestOutage = 2500 * time.Millisecond
	graceTime     = 6 * time.Second

	// changingRoute exists in odd versions of the configuration only.
	changingRoute = "c"

	// movingQueue is led to another service by every other version of the configuration, by a route of
	// another name in each.
	movingQueue = "m"

	// longestResend is the longest time after which a caller sends a job again that was accepted.
	longestResend = 4 * time.Second
)

// servicesWithWork are those whose owners are replaced; each has a route of its name.
var servicesWithWork = []string{"s0", "s1", "s2"}

// routesOf returns a configuration of servicesWithWork.
func routesOf(version int) string {
	const route = `{"name":%q,"host":"h.example","pathPrefix":"/%s/","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":%q,"maxAttempts":3,"stretch":1.6}`
	var routes, services []string
	for _, service := range servicesWithWork {
		routes = append(routes, fmt.Sprintf(route, service, service, service))
		services = append(services, fmt.Sprintf(`{"name":%q,"rejectsOverload":true}`, service))
	}
	routes = append(routes, fmt.Sprintf(route, fmt.Sprintf("%s%d", movingQueue, version%2), movingQueue, servicesWithWork[version/2%len(servicesWithWork)]))
	if version%2 == 1 {
		routes = append(routes, fmt.Sprintf(route, changingRoute, changingRoute, servicesWithWork[0]))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s,{"name":"z","rejectsOverload":true,"headroom":true}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, strings.Join(routes, ","), strings.Join(services, ","))
}

// TestNextOwnerStartsNoTaskAgain replaces the owners of several services while jobs are handed in at
// every entry. Restarts, frozen entries, outages of the store, transactions that fail for one entry
// alone, broken links, workers that the next owner does not reach and new configurations overlap. A queue moves between the
// services, callers send accepted jobs again, and withdraw some that got no answer. From outside: no task runs
// twice, every accepted job is completed, and no withdrawn one stays open. See TestJobsSurviveFaultsOfEntries for more seeds.
func TestNextOwnerStartsNoTaskAgain(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed int64) { replaceOwners(t, seed, ordinaryRun, nil) })
}

// ownersRun is what overlaps while owners are replaced.
type ownersRun struct {
	instances int
	breakers  []func(*series, *rand.Rand)

	// handIn hands in jobs at the entry of a number.
	handIn func(s *series, entry int, random *rand.Rand, seed int64)

	// ended judges the state of an accepted job at the end.
	ended func(status int, answer string) bool
}

var ordinaryRun = ownersRun{
	instances: ownedInstances,
	breakers: []func(*series, *rand.Rand){
		(*series).restart, (*series).restart, (*series).freeze, (*series).breakWrites, (*series).breakWrites,
		(*series).breakStore, (*series).breakLink, (*series).cutOff, (*series).change,
	},
	handIn: (*series).handIn,
	ended:  completed,
}

// replaceOwners is the run of one seed. beside, unless nil, is run beside the callers and returns what
// is to be done once all of their jobs are completed.
func replaceOwners(t *testing.T, seed int64, run ownersRun, beside func(*series, *rand.Rand) func()) {
	s := &series{
		answers: make(map[int]int),
		deployment: deployPlan(t, plan{
			entries:       ownedEntries,
			instances:     run.instances,
			services:      servicesWithWork,
			configuration: routesOf,
		}),
	}
	s.stopping = make([]sync.Mutex, len(s.entries))
	for _, e := range s.entries {
		s.awaitReady(e, http.StatusOK)
	}
	var callers, breakers sync.WaitGroup
	for i := range s.entries {
		callers.Add(1)
		s.group.Go("caller", func(context.Context) error {
			defer callers.Done()
			run.handIn(s, i, rand.New(rand.NewSource(seed<<8|int64(i))), seed)
			return nil
		})
	}
	end := time.Now().Add(brokenFor)
	for i, inject := range run.breakers {
		breakers.Add(1)
		random := rand.New(rand.NewSource(seed<<8 | int64(0x80+i)))
		s.group.Go("breaker", func(context.Context) error {
			defer breakers.Done()
			for time.Now().Before(end) {
				upTo(random, breakPause)
				inject(s, random)
			}
			return nil
		})
	}
	finish := func() {}
	if beside != nil {
		finish = beside(s, rand.New(rand.NewSource(seed)))
	}
	breakers.Wait()
	s.over.Store(true)
	callers.Wait()
	s.version |= 1
	s.configure()
	// The judge is asked also where a job is not completed.
	defer func() {
		faults, starts := s.oracle.Faults()
		for _, fault := range append(s.faults, faults...) {
			t.Error(fault)
		}
		t.Logf("seed %d: %d entries, answers %v, %d jobs accepted, %d withdrawn, %d starts, %d faults", seed, len(s.entries), s.answers, len(s.accepted), len(s.withdrawn), starts, len(faults))
	}()
	for _, path := range s.accepted {
		s.any(http.MethodGet, path, "", run.ended)
	}
	for _, path := range s.withdrawn {
		s.any(http.MethodGet, path, "", func(status int, answer string) bool {
			return status == http.StatusGone || completed(status, answer) || strings.Contains(answer, "cancelled")
		})
	}
	finish()
}

// upTo waits for a part of the given time.
func upTo(random *rand.Rand, longest time.Duration) {
	time.Sleep(time.Duration(random.Int63n(int64(longest))))
}

// pick returns an entry.
func (s *series) pick(random *rand.Rand) *entry {
	return s.entries[random.Intn(len(s.entries))]
}

// restart stops an entry in order or kills it, at once or within its grace time, and starts it again.
func (s *series) restart(random *rand.Rand) {
	index, killed, grace := random.Intn(len(s.entries)), random.Intn(2) == 0, graceTime
	if random.Intn(2) == 0 {
		grace = time.Duration(random.Int63n(int64(graceTime)))
	}
	if !s.stopping[index].TryLock() {
		return
	}
	defer s.stopping[index].Unlock()
	e := s.entries[index]
	process := e.command.Process
	if killed {
		s.signal(e, syscall.SIGKILL)
	} else {
		s.signal(e, syscall.SIGTERM)
		kill := time.AfterFunc(grace, func() { _ = process.Kill() })
		defer kill.Stop()
	}
	_, _ = process.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start(e)
}

// freeze stops an entry for a while.
func (s *series) freeze(random *rand.Rand) {
	defer s.hideWorkers(random)()
	e := s.pick(random)
	s.signal(e, syscall.SIGSTOP)
	upTo(random, longestFault)
	s.signal(e, syscall.SIGCONT)
}

// breakWrites breaks the transactions of one entry, whose reads work.
func (s *series) breakWrites(random *rand.Rand) {
	defer s.hideWorkers(random)()
	e := s.pick(random)
	e.writes.set(writeFault(1 + random.Intn(int(writeFaults)-1)))
	upTo(random, longestFault)
	e.writes.set(writesWork)
}

// hideWorkers hides some workers from the next owners and returns what ends that.
func (s *series) hideWorkers(random *rand.Rand) func() {
	var hidden []*link
	for _, l := range s.links[:ownedInstances] {
		if random.Intn(3) == 0 {
			l.set(linkSilencesNew)
			hidden = append(hidden, l)
		}
	}
	return func() {
		for _, l := range hidden {
			l.set(linkPasses)
		}
	}
}

func (s *series) breakStore(random *rand.Rand) {
	upTo(random, longestFault)
	s.faulty.set(storeFault(1 + random.Intn(int(storeFaultCount)-1)))
	upTo(random, longestOutage)
	s.faulty.set(storeWorks)
}

// breakLink breaks the link to a worker, to the instances' interface, or from an entry to the store.
func (s *series) breakLink(random *rand.Rand) {
	links := append([]*link(nil), s.links[:ownedInstances+1]...)
	for _, e := range s.entries {
		links = append(links, e.link)
	}
	l := links[random.Intn(len(links))]
	l.set(linkFault(1 + random.Intn(int(linkFaults)-1)))
	upTo(random, longestOutage)
	l.set(linkPasses)
}

// cutOff cuts off the worker that runs a task of the newest job, if there is one.
func (s *series) cutOff(random *rand.Rand) {
	s.mu.Lock()
	job := ""
	if len(s.accepted) > 0 {
		path := s.accepted[len(s.accepted)-1]
		job = path[strings.LastIndex(path, "/")+1:]
	}
	s.mu.Unlock()
	if restore := s.fleet.CutOff(job); restore != nil {
		upTo(random, longestFault)
		restore()
	}
}

// change puts another configuration in force, or lets the store forget its history.
func (s *series) change(random *rand.Rand) {
	if random.Intn(3) == 0 {
		s.rows.Forget()
		s.signal(s.pick(random), syscall.SIGHUP)
		return
	}
	s.reconfigure()
}

// handIn hands in job after job at one entry, over a connection that it uses until that is closed. All
// tasks of a job start at once.
func (s *series) handIn(index int, random *rand.Rand, seed int64) {
	var conn *openConn
	for job := 1; !s.over.Load(); job++ {
		route := changingRoute
		switch random.Intn(8) {
		case 0:
		case 1, 2:
			route = movingQueue
		default:
			route = servicesWithWork[random.Intn(len(servicesWithWork))]
		}
		share := random.Float64()
		length := shortestTask + time.Duration(share*share*share*float64(longestTask-shortestTask))
		id := fmt.Sprintf("%016x", seed<<32|int64(index)<<16|int64(job))
		body := fmt.Sprintf(`{"spec":"%s","steps":[{"count":%d,"cpu":250,"memMb":50,"estimateMs":%d}]}`, length, 2+random.Intn(4), length.Milliseconds())
		s.submit(&conn, s.entries[index], random, "/"+route+"/"+id, body)
		// As much work for any number of entries.
		upTo(random, callerPause*time.Duration(len(s.entries))/ownedEntries)
	}
}

// submit sends a job until an answer says whether it is taken: first over the connection that is kept
// to one entry, then to any.
func (s *series) submit(conn **openConn, e *entry, random *rand.Rand, path, body string) {
	var got answered
	if *conn == nil {
		*conn, got.err = dial(s.t, e.front)
	}
	if got.err == nil {
		got = (*conn).request(path, http.MethodPost, path, body)
	}
	if got.err != nil || got.last {
		*conn = nil
	}
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		s.answers[got.status]++
		if got.status == http.StatusOK {
			s.accepted = append(s.accepted, path)
		}
		s.mu.Unlock()
		switch got.status {
		case http.StatusOK:
			if random.Intn(3) == 0 {
				s.sendAgain(s.pick(random), time.Duration(random.Int63n(int64(longestResend))), path, body)
			}
			return
		case http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			return
		}
		if random.Intn(4) == 0 {
			s.withdraw(random, path)
			return
		}
		got.status, _ = call(http.MethodPost, s.pick(random).front, path, body)
	}
	s.fault("%s: no answer says whether it is taken", path)
}

// sendAgain sends an accepted job once more after a while.
func (s *series) sendAgain(e *entry, after time.Duration, path, body string) {
	s.group.Go("caller", func(context.Context) error {
		time.Sleep(after)
		call(http.MethodPost, e.front, path, body)
		return nil
	})
}

// withdraw withdraws a job that may have been taken, until that is acknowledged.
func (s *series) withdraw(random *rand.Rand, path string) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		switch status, _ := call(http.MethodDelete, s.pick(random).front, path, ""); status {
		case http.StatusOK, http.StatusGone:
			s.mu.Lock()
			s.withdrawn = append(s.withdrawn, path)
			s.mu.Unlock()
			return
		case http.StatusNotFound:
			return
		}
	}
	s.fault("%s: no answer says whether it is withdrawn", path)
}

// TestReplacedOwnerStartsNoJobOfTheNext refuses the transactions of an owner whose reads work, until
// it is replaced. The next owner reaches no worker at first, then those that run nothing; the one
// before reaches them all.
func TestReplacedOwnerStartsNoJobOfTheNext(t *testing.T) {
	const jobs, workers, pause = 12, 2, 100 * time.Millisecond
	d := deployPlan(t, plan{
		entries:   entries,
		instances: workers,
		services:  []string{"s"},
		configuration: func(version int) string {
			return strings.Replace(fmt.Sprintf(configuration, version), `,{"name":"z","rejectsOverload":true,"headroom":true}`, "", 1)
		},
	})
	for _, e := range d.entries {
		d.awaitReady(e, http.StatusOK)
	}
	d.any(http.MethodPost, "/q/00000000000000d0", body, succeeded)
	d.any(http.MethodGet, "/q/00000000000000d0", "", completed)
	before := d.ownerOf("s")
	before.writes.set(writesAreRefused)
	for _, l := range d.links[:workers] {
		l.set(linkSilencesNew)
	}
	for end := time.Now().Add(patience); d.ownerOf("s") == before && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	var ids []string
	for i := range jobs {
		ids = append(ids, fmt.Sprintf("%016x", 0xd1+i))
		d.any(http.MethodPost, "/q/"+ids[i], `{"spec":"3s","steps":[{"count":2,"cpu":100,"memMb":10,"estimateMs":3000}]}`, succeeded)
		time.Sleep(pause)
	}
	for _, id := range ids {
		if restore := d.fleet.CutOff(id); restore != nil {
			d.mendAt(time.Now().Add(longestTask), restore)
			break
		}
	}
	before.writes.set(writesWork)
	for _, l := range d.links[:workers] {
		l.set(linkPasses)
	}
	for _, id := range ids {
		d.any(http.MethodGet, "/q/"+id, "", completed)
	}
	faults, starts := d.oracle.Faults()
	for _, fault := range faults {
		t.Error(fault)
	}
	t.Logf("%d jobs, %d starts, %d faults", len(ids), starts, len(faults))
}

// ownerOf returns the entry that the store names as the owner of a service, or nil.
func (d *deployment) ownerOf(service string) *entry {
	row, err := d.rows.Table().Row(context.Background(), outside.Key{
		Table: "owner",
		Part:  service,
		Name:  "owner",
	})
	for i, e := range d.entries {
		if err == nil && row != nil && strings.Contains(string(row.Value), fmt.Sprintf("entry-%d/", i)) {
			return e
		}
	}
	return nil
}
