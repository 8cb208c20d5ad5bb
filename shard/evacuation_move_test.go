package shard_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
)

// evacuationWorld is a world with two workers in each of three zones and two steps of long-running
// tasks. The tasks of the second step are a gang.
type evacuationWorld struct {
	*world

	// logged holds the lines of owners about evacuated zones, with their fields.
	logged map[string][]any
}

func newEvacuationWorld(t *testing.T, filled bool) *evacuationWorld {
	t.Helper()
	w := &evacuationWorld{
		world:  newWorld(6), // Two workers in each of three zones.
		logged: make(map[string][]any),
	}
	w.logEvent = func(event string, fields ...any) { w.logged[event] = fields }
	w.run(200 * time.Millisecond)
	one := lasting(3, 1)
	one.PerWorker = 2
	gang := lasting(2, 2)
	gang.Gang = true
	w.submit("one", one)
	w.submit("gang", gang)
	w.run(2 * time.Second)
	if filled {
		// The other workers have no room left.
		w.submit("filling", lasting(19, 1))
	}
	w.run(3 * time.Second)
	if w.availableRuns("one") != 3 || w.availableRuns("gang") != 2 {
		t.Fatal("the tasks do not run")
	}
	return w
}

// runsIn returns the tasks of a job that run in a zone.
func (w *evacuationWorld) runsIn(zone, id string) []job.TaskID {
	var list []job.TaskID
	for _, f := range w.workers {
		for task := range f.runs {
			if f.reg.Zone == zone && task.Job == id {
				list = append(list, task)
			}
		}
	}
	return list
}

// zonesOf returns the zones in which tasks of a job run.
func (w *evacuationWorld) zonesOf(id string) []string {
	var list []string
	for _, zone := range []string{"r0", "r1", "r2"} {
		if len(w.runsIn(zone, id)) > 0 {
			list = append(list, zone)
		}
	}
	return list
}

// TestLongRunningTasksLeaveEvacuatedZones covers long-running tasks that stayed in an evacuated zone
// until the operator's work there ended them.
func TestLongRunningTasksLeaveEvacuatedZones(t *testing.T) {
	cases := map[string]struct {
		zones  []string
		during func(w *evacuationWorld)
	}{
		"one zone":  {[]string{"r0"}, func(*evacuationWorld) {}},
		"two zones": {[]string{"r0", "r1"}, func(*evacuationWorld) {}},
		"takeover":  {[]string{"r0"}, func(w *evacuationWorld) { w.takeOver() }},
		"hand-over": {[]string{"r1"}, func(w *evacuationWorld) { w.release(20 * tick) }},
		"store down": {[]string{"r2"}, func(w *evacuationWorld) {
			w.storeDown = true
			w.run(2 * time.Second)
			w.storeDown = false
		}},
		"store down when set": {[]string{"r2"}, func(w *evacuationWorld) {
			// The owner learns of the evacuation once it can read the store again.
			w.storeDown = true
			w.evacuations.hidden = true
			w.run(2 * time.Second)
			w.storeDown = false
			w.evacuations.hidden = false
		}},
		"store down when taken back": {[]string{"r2"}, func(w *evacuationWorld) {
			w.after(19*time.Second, func() { w.storeDown = true })
			w.after(21*time.Second, func() { w.storeDown = false })
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newEvacuationWorld(t, false)
			for _, zone := range c.zones {
				w.evacuate(zone)
			}
			w.run(evacuationLag)
			c.during(w)
			w.run(20 * time.Second)
			for _, zone := range c.zones {
				is.Equal(len(w.runsIn(zone, "one"))+len(w.runsIn(zone, "gang")), 0)
			}
			is.Equal(w.availableRuns("gang"), 2)
			is.Equal(w.availableRuns("one"), 3)
			is.True(w.logged["zone emptied"] != nil)
			for _, zone := range w.core.EvacuatedZones() {
				is.Equal(zone.Runs, 0)
			}
			for _, zone := range c.zones {
				w.endEvacuation(zone)
			}
			w.run(5 * time.Second)
			is.Equal(w.availableRuns("one"), 3)
			is.Equal(len(w.core.EvacuatedZones()), 0)
			w.check(t)
		})
	}
}

// TestLongRunningTasksStayWhereNoRoomIs covers evacuations that leave no room: a long-running task
// that was stopped there would not run anywhere.
func TestLongRunningTasksStayWhereNoRoomIs(t *testing.T) {
	cases := map[string]struct {
		zones  []string
		filled bool
	}{
		"full":      {[]string{"r0"}, true},
		"all zones": {[]string{"r0", "r1", "r2"}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newEvacuationWorld(t, c.filled)
			before := w.zonesOf("one")
			for _, zone := range c.zones {
				w.evacuate(zone)
			}
			w.run(10 * time.Second)
			is.Equal(w.zonesOf("one"), before)
			is.Equal(w.availableRuns("one"), 3)
			is.Equal(w.availableRuns("gang"), 2)
			lasting := 0
			for _, zone := range w.core.EvacuatedZones() {
				lasting += zone.Lasting
			}
			is.True(lasting > 0)
			is.True(slices.Contains(w.logged["long-running tasks stay in evacuated zone"], any("room")))
			w.check(t)
		})
	}
}

// TestTasksThatNeverRanStopNoEvacuation guards against evacuations that wait for long-running tasks
// that no worker can take: eight with a label that no worker has stopped every evacuation.
func TestTasksThatNeverRanStopNoEvacuation(t *testing.T) {
	is := is.New(t)
	w := newEvacuationWorld(t, false)
	impossible := lasting(8, 1)
	impossible.Label = "missing"
	w.submit("impossible", impossible)
	dependent := lasting(8, 1)
	dependent.After = []int{0}
	w.submit("dependent", impossible, dependent)
	w.run(3 * time.Second)
	w.evacuate("r0")
	w.run(20 * time.Second)
	is.Equal(len(w.runsIn("r0", "one"))+len(w.runsIn("r0", "gang")), 0)
	is.Equal(w.availableRuns("one"), 3)
	is.Equal(w.availableRuns("gang"), 2)
	w.check(t)
}

// TestEvacuationIsLoggedAsReasonOfStops guards against stops in an evacuated zone that look like
// those of closed workers in the log.
func TestEvacuationIsLoggedAsReasonOfStops(t *testing.T) {
	is := is.New(t)
	w := newEvacuationWorld(t, false)
	stops := make(map[string]int)
	w.logEvent = func(event string, fields ...any) {
		if at := slices.Index(fields, any("reason")); event == "stop ordered" && at >= 0 {
			stops[fields[at+1].(string)]++
		}
	}
	for _, zone := range w.zonesOf("one") {
		w.evacuate(zone)
		w.run(10 * time.Second)
		w.endEvacuation(zone)
	}
	is.True(stops["zone is evacuated"] > 0)
	is.Equal(len(stops), 1)
}

// TestStayingTasksCostOneWalkByStep guards against searches that walk over all workers once for
// each long-running task that stays.
func TestStayingTasksCostOneWalkByStep(t *testing.T) {
	is := is.New(t)
	w := newWorld(6)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(24, 1))
	w.run(3 * time.Second)
	is.Equal(w.availableRuns("a"), 24)
	w.evacuate("r0")
	w.run(evacuationLag + time.Second)
	w.evacuations.checks = 0
	w.core.Next(w.now.Add(200 * time.Millisecond))
	// Next asks 22 times, the walk for the one step included. With a walk for each of the eight
	// tasks in the zone it asks 92 times.
	is.True(w.evacuations.checks > 0)
	is.True(w.evacuations.checks <= 5*len(w.workers))
}

// TestGangThatMayNotMissAllMembersStays covers a gang whose members would have to stop together,
// which is more than its step may miss.
func TestGangThatMayNotMissAllMembersStays(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	gang := lasting(3, 1)
	gang.Gang = true
	gang.PerWorker = 1
	w.submit("gang", gang)
	w.run(3 * time.Second)
	is.Equal(w.availableRuns("gang"), 3)
	w.evacuate("r0")
	w.addWorker("w7", "r1-1")
	w.addWorker("w8", "r1-1")
	w.addWorker("w9", "r2-1")
	w.sendRegistrations()
	w.run(8 * time.Second)
	is.Equal(w.availableRuns("gang"), 3)
	is.Equal(len(w.workers["w0"].runs), 1)
	w.check(t)
}

// TestAvailabilityDuringEvacuations evacuates zones during a maintenance wave and random faults. No
// order may make more tasks of a step unavailable than the step may miss.
func TestAvailabilityDuringEvacuations(t *testing.T) {
	runPreparedSimulations(t, availabilityDays, faultKinds(), func(w *world) {
		w.after(5*time.Second, func() { w.evacuate("r1") })
		w.after(12*time.Second, func() { w.evacuate("r2") })
		w.after(15*time.Second, func() { w.endEvacuation("r1") })
		w.after(20*time.Second, func() { w.endEvacuation("r2") })
	})
}
