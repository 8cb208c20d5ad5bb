package soak_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lemonstream.dev/lemonstream/internal/standin"
)

const (
	// restartedInstances is how many instances there are, sparedInstances how many of each service are
	// never cut off at one time.
	restartedInstances = 18
	sparedInstances    = 2

	// longestAway bounds the time until a worker starts again, earliestCut and latestCut the time from
	// then until it is cut off, shortestCut and longestCut how long that lasts. The last two, which bound
	// the length of tasks too, are longer than the longest lease.
	longestAway = time.Second
	earliestCut = 100 * time.Millisecond
	latestCut   = 4 * time.Second
	shortestCut = 10500 * time.Millisecond
	longestCut  = 12 * time.Second

	longTaskPause = 4 * time.Second

	// entryPause is the longest time between two faults of entries of one kind.
	entryPause = 6 * time.Second
)

// TestRestartedAndCutOffWorkersRunNoTaskTwice starts workers again under their ids and cuts them off soon
// after, for longer than the longest lease, while long and lasting tasks run. Entries are killed, stopped
// and frozen beside it, connections are reset, and some calls to workers are carried out late. From outside:
// no task runs twice, and every accepted job ends.
func TestRestartedAndCutOffWorkersRunNoTaskTwice(t *testing.T) {
	run := ownersRun{
		instances: restartedInstances,
		breakers: []func(*series, *rand.Rand){
			func(s *series, random *rand.Rand) { upTo(random, entryPause); s.restart(random) },
			func(s *series, random *rand.Rand) { upTo(random, entryPause); s.freeze(random) },
			(*series).resetLink,
		},
		handIn: (*series).handInLong,
		// A task whose workers crash three times is given up.
		ended: func(status int, answer string) bool { return completed(status, answer) || failed(status, answer) },
	}
	forSeeds(t, func(t *testing.T, seed int64) {
		replaceOwners(t, seed, run, func(s *series, random *rand.Rand) func() {
			s.fleet.SetFaults(seed, standin.CallFaults{
				LatePolls:  0.03,
				LateOrders: 0.03,
				Full:       0.02,
			})
			end := time.Now().Add(brokenFor)
			var cuts sync.WaitGroup
			for i := range servicesWithWork {
				cuts.Add(1)
				random := rand.New(rand.NewSource(seed<<8 | int64(0xc0+i)))
				s.group.Go("cuts", func(context.Context) error {
					defer cuts.Done()
					for time.Now().Before(end) {
						upTo(random, latestCut)
						s.restartAndCutOff(random, i)
					}
					return nil
				})
			}
			lasting := s.handInLasting(seed)
			cuts.Wait()
			s.fleet.SetFaults(seed, standin.CallFaults{})
			return func() {
				for _, path := range lasting {
					s.any(http.MethodDelete, path, "", succeeded)
					s.any(http.MethodGet, path, "", func(_ int, answer string) bool { return strings.Contains(answer, "cancelled") })
				}
			}
		})
	})
}

// handInLong hands in jobs of long tasks at one entry for as long as faults come.
func (s *series) handInLong(index int, random *rand.Rand, seed int64) {
	var conn *openConn
	for job, end := 1, time.Now().Add(brokenFor); time.Now().Before(end); job++ {
		length := shortestCut + time.Duration(random.Int63n(int64(longestCut-shortestCut)))
		path := fmt.Sprintf("/%s/%016x", servicesWithWork[random.Intn(len(servicesWithWork))], seed<<32|int64(index)<<16|int64(job))
		body := fmt.Sprintf(`{"spec":"%s","steps":[{"count":%d,"cpu":500,"memMb":50,"estimateMs":%d}]}`, length, 1+random.Intn(3), length.Milliseconds())
		s.submit(&conn, s.entries[index], random, path, body)
		upTo(random, longTaskPause*time.Duration(len(s.entries))/ownedEntries)
	}
}

// handInLasting hands in a job of lasting tasks for each service.
func (s *series) handInLasting(seed int64) []string {
	var accepted []string
	for i, service := range servicesWithWork {
		path := fmt.Sprintf("/%s/%016x", service, 0x1a57<<32|seed<<16|int64(i))
		if s.handInLarge(path, `{"spec":"`+standin.LastingText+`","steps":[{"count":4,"longRunning":true,"may_miss":1,"cpu":500,"memMb":50,"estimateMs":100}]}`) {
			accepted = append(accepted, path)
		}
	}
	return accepted
}

// restartAndCutOff starts all workers of a service but some again under their ids at one time, and cuts each off.
func (s *series) restartAndCutOff(random *rand.Rand, service int) {
	away := time.Duration(random.Int63n(int64(longestAway)))
	ofService := s.instances / len(servicesWithWork)
	workers := random.Perm(ofService)[sparedInstances:]
	for _, worker := range workers {
		s.fleet.Restart(service+worker*len(servicesWithWork), away)
	}
	time.Sleep(away + earliestCut)
	upTo(random, latestCut-earliestCut)
	var restore []func()
	for _, worker := range workers {
		restore = append(restore, s.fleet.CutOffInstance(service+worker*len(servicesWithWork), standin.Cut(random.Intn(int(standin.CutKinds)))))
	}
	time.Sleep(shortestCut)
	upTo(random, longestCut-shortestCut)
	for _, end := range restore {
		end()
	}
}

// resetLink resets all connections of a link to an entry, to a worker or to the store.
func (s *series) resetLink(random *rand.Rand) {
	upTo(random, entryPause)
	l := s.links[random.Intn(len(s.links))]
	l.set(linkResets)
	l.set(linkPasses)
}
