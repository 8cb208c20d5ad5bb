package shard_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
)

const (
	// evacuationLag is how long after the acknowledgement of an evacuation owners know of it in
	// these tests. evacuationBound is how long after the acknowledgement an owner may still
	// order starts in the zone.
	evacuationLag   = time.Second
	evacuationBound = 2 * time.Second
)

// evacuations holds the zones in which, by the operator's order, nothing may start.
type evacuations struct {
	// acknowledged holds when the evacuation of each zone was acknowledged.
	acknowledged map[string]time.Time

	// hidden says that owners are told of no evacuation.
	hidden bool

	// checks counts how often owners asked whether a zone is evacuated.
	checks int
}

// zoneOf returns the zone of a rack.
func zoneOf(rack string) string {
	zone, _, _ := strings.Cut(rack, "-")
	return zone
}

// evacuate acknowledges the evacuation of a zone.
func (w *world) evacuate(zone string) {
	if w.evacuations.acknowledged == nil {
		w.evacuations.acknowledged = make(map[string]time.Time)
	}
	if _, found := w.evacuations.acknowledged[zone]; !found {
		w.evacuations.acknowledged[zone] = w.now
	}
}

// endEvacuation ends the evacuation of a zone.
func (w *world) endEvacuation(zone string) {
	delete(w.evacuations.acknowledged, zone)
}

// TestUnknownOperatorStartsNothing covers an owner whose copy of the operator's table is too old: what
// runs goes on, and nothing starts until the table is read again.
func TestUnknownOperatorStartsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	long := step(3)
	long.Estimate = 10 * time.Second
	w.submit("runs", long)
	w.run(time.Second)
	before := w.runsBegun()
	is.Equal(before, 3)
	w.operatorUnknown = true
	w.submit("waits", step(4))
	w.run(3 * time.Second)
	is.Equal(w.runsBegun(), before)
	w.operatorUnknown = false
	w.run(3 * time.Second)
	is.Equal(w.shown["waits"], job.Completed)
	w.run(20 * time.Second)
	is.Equal(w.shown["runs"], job.Completed)
	is.Equal(w.runsBegun(), before+4) // No lease of those that ran has lapsed.
	w.check(t)
}

// runsBegun returns how many runs have begun on all workers.
func (w *world) runsBegun() int {
	sum := 0
	for _, f := range w.workers {
		sum += f.began
	}
	return sum
}

// isEvacuated reports whether owners know that a zone is evacuated.
func (w *world) isEvacuated(zone string) bool {
	w.evacuations.checks++
	at, found := w.evacuations.acknowledged[zone]
	return found && !w.evacuations.hidden && w.now.Sub(at) >= evacuationLag
}

// checkEvacuated reports a start that was ordered in an evacuated zone.
func (w *world) checkEvacuated(f *fakeWorker, id job.TaskID, sent time.Time) {
	if at, found := w.evacuations.acknowledged[f.reg.Zone]; found && sent.Sub(at) > evacuationBound {
		w.addViolation("%s starts on %s, whose zone %s was evacuated at %v", id, f.reg.ID, f.reg.Zone, at.Sub(w.start))
	}
}

// TestNothingStartsInAnEvacuatedZone covers owners that did not know of evacuated zones. They
// started some two thousand tasks in a zone that was evacuated for ten seconds.
func TestNothingStartsInAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	short := step(12)
	short.Estimate = 10 * time.Second
	w.submit("stays", short)
	w.run(time.Second)
	evacuated := w.workers["w0"]
	before := evacuated.began
	is.True(before > 0)
	w.evacuate(evacuated.reg.Zone)
	w.run(evacuationLag)
	for i := range 6 {
		w.submit(fmt.Sprintf("j%d", i), step(4))
	}
	w.run(5 * time.Second)
	is.True(len(evacuated.runs) > 0) // Short tasks that run in the zone keep running.
	w.run(3 * time.Second)
	is.Equal(evacuated.began, before)
	w.endEvacuation(evacuated.reg.Zone)
	w.submit("after", step(12))
	w.run(6 * time.Second)
	is.True(evacuated.began > before)
	w.check(t)
}

// TestUnansweredStartIsNotRetriedInAnEvacuatedZone covers a start that gets no answer before its
// zone is evacuated, and whose retry is due after the evacuation.
func TestUnansweredStartIsNotRetriedInAnEvacuatedZone(t *testing.T) {
	for name, s := range map[string]job.Step{
		"short":   step(1),
		"lasting": lasting(1, 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1)
			w.run(200 * time.Millisecond)
			w.startDelay = time.Minute
			w.submit("a", s)
			w.run(4 * tick)
			w.evacuate(w.workers["w0"].reg.Zone)
			w.workers["w0"].partitioned = true
			w.run(3 * time.Second)
			w.startDelay = 0
			w.workers["w0"].partitioned = false
			w.run(4 * time.Second)
			is.Equal(w.workers["w0"].began, 0)
			w.endEvacuation(w.workers["w0"].reg.Zone)
			w.run(4 * time.Second)
			is.True(w.workers["w0"].began > 0)
			w.check(t)
		})
	}
}

// TestEvacuationIsReportedAsWaitReason covers a task that may only run on a rack of an evacuated
// zone.
func TestEvacuationIsReportedAsWaitReason(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	evacuated := w.workers["w0"].reg
	w.evacuate(evacuated.Zone)
	w.run(evacuationLag)
	s := step(1)
	s.Label = evacuated.Rack
	w.submit("a", s)
	w.run(4 * time.Second)
	is.True(w.waitReasons["evacuated"] > 0)
	w.endEvacuation(evacuated.Zone)
	w.run(3 * time.Second)
	is.Equal(w.shown["a"], job.Completed)
	w.check(t)
}

// TestEvacuatedZonesUnderFaults evacuates zones during random faults and takeovers.
func TestEvacuatedZonesUnderFaults(t *testing.T) {
	prove.Guard(t, prove.Evacuation, "evacuated-worker-takes-nothing", func(on bool) func(*rapid.T) {
		return func(t *rapid.T) {
			w := newWorld(4)
			w.evacuations.hidden = !on
			for _, zone := range []string{"r0", "r1", "r2"} {
				if rapid.Bool().Draw(t, "evacuated") {
					from := time.Duration(rapid.IntRange(0, 500).Draw(t, "from")) * tick
					w.after(from, func() { w.evacuate(zone) })
					w.after(from+time.Duration(rapid.IntRange(100, 1500).Draw(t, "for"))*tick, func() { w.endEvacuation(zone) })
				}
			}
			underFaults(t, w)
		}
	})
}
