package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

// eventLog holds the fields of logged events, by event.
type eventLog map[string][]map[string]any

// recordEvents makes the world record what owners log.
func (w *world) recordEvents() eventLog {
	log := make(eventLog)
	w.logEvent = func(event string, fields ...any) {
		line := make(map[string]any)
		for i := 0; i+1 < len(fields); i += 2 {
			line[fields[i].(string)] = fields[i+1]
		}
		log[event] = append(log[event], line)
	}
	return log
}

// startOfEarlierOwner starts a run at a worker as the first owner would.
func (w *world) startOfEarlierOwner(f *fakeWorker, id job.TaskID, run int64) error {
	return w.startAt(f, outside.StartOrder{
		Task:  id,
		Run:   run,
		Fence: f.fence,
		Until: f.clock(w.now) + testLease,
	}, w.now)
}

// TestTaskStartedByTwoOwnersIsLogged starts a task that the owner has started as an earlier owner
// would, at a worker that the owner has or has not reached. It looks only at the log: that two runs
// exist breaks a rule, so the oracle is not asked.
func TestTaskStartedByTwoOwnersIsLogged(t *testing.T) {
	for name, reached := range map[string]bool{
		"at a worker not reached": false,
		"at a worker reached":     true,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(3)
			w.run(200 * time.Millisecond)
			f := w.workers["w0"]
			f.partitioned = !reached
			w.takeOver()
			w.run(200 * time.Millisecond)
			log := w.recordEvents()
			w.submit("a", step(1))
			w.run(2 * tick)
			starts := log["start ordered"]
			is.Equal(len(starts), 1)
			_, logged := starts[0]["unobserved"]
			is.Equal(logged, !reached)
			if !reached {
				is.Equal(starts[0]["unobserved"], 1)
				is.Equal(starts[0]["fresh"], true)
			}
			own := starts[0]["worker"].(string)
			other := f
			if reached {
				other = w.workers[otherOf(w, own)]
			}
			is.NoErr(w.startOfEarlierOwner(other, job.TaskID{
				Job: "a",
			}, 1))
			is.Equal(len(log["task started by two owners"]), 0)
			f.partitioned = false
			w.run(3 * time.Second)
			lines := log["task started by two owners"]
			is.Equal(len(lines), 2) // The run, and its end.
			is.Equal(lines[0]["how"], "running")
			is.Equal(lines[1]["how"], string(outside.EndStopped))
			for _, line := range lines {
				is.Equal(line["task"], "a.0.0.0")
				is.Equal(line["run"], int64(1))
				is.Equal(line["worker"], other.reg.Incarnation().String())
				is.Equal(line["own_worker"], w.workers[own].reg.Incarnation().String())
				is.Equal(line["own_run"], starts[0]["run"])
				is.Equal(line["fresh"], true)
				is.Equal(line["inherited"], true)
				is.Equal(line["lapsed"], false)
			}
		})
	}
}

// TestStartAfterLapsedLeasesIsNoDoubleStart cuts off the worker that runs a task for a takeover that
// lasts longer than all leases. The next owner may start the task again after that.
func TestStartAfterLapsedLeasesIsNoDoubleStart(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	w.submit("a", lasting(1, 1))
	w.run(time.Second)
	f := reachableWorkersOf(w, "a")[0]
	f.partitioned = true
	log := w.recordEvents()
	w.takeOver()
	w.run(10 * time.Second)
	is.Equal(len(log["start ordered"]), 1)
	f.partitioned = false
	w.run(time.Second)
	is.True(len(log["run ended"]) > 0)
	is.Equal(len(log["task started by two owners"]), 0)
	w.check(t)
}

// TestOwnRunIsNoDoubleStart lets an owner start a task a second time after a worker was cut off for
// longer than its lease, and then read the good end of the first run.
func TestOwnRunIsNoDoubleStart(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.run(200 * time.Millisecond)
	log := w.recordEvents()
	w.submit("a", step(1))
	w.run(100 * time.Millisecond)
	f := reachableWorkersOf(w, "a")[0]
	f.partitioned = true
	w.run(6 * time.Second)
	is.Equal(len(log["start ordered"]), 2)
	f.partitioned = false
	w.run(time.Second)
	ends := log["run ended"]
	is.Equal(ends[len(ends)-1]["known"], false)
	is.Equal(len(log["task started by two owners"]), 0)
	w.check(t)
}

// TestCopyIsNoDoubleStart lets the next owner start a copy of a straggler that an earlier owner
// started. A copy that the earlier owner started may appear as well, at a worker that the next owner
// reaches late. The oracle is not asked, as three runs break a rule.
func TestCopyIsNoDoubleStart(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	w.run(200 * time.Millisecond)
	s := step(1)
	s.Speculative = true
	w.submit("a", s)
	w.run(100 * time.Millisecond)
	f := reachableWorkersOf(w, "a")[0]
	id := job.TaskID{
		Job: "a",
	}
	f.runs[id].workLeft = 20 * time.Second
	late := w.workers[otherOf(w, f.reg.ID)]
	late.partitioned = true
	log := w.recordEvents()
	w.takeOver()
	w.run(200 * time.Millisecond)
	w.submit("b", step(8)) // Enough ends to tell how long a task usually takes.
	for range 500 {
		w.run(tick)
		if startsOf(log, id) > 0 {
			break
		}
	}
	is.Equal(startsOf(log, id), 1)
	is.NoErr(w.startOfEarlierOwner(late, id, 2))
	late.partitioned = false
	w.run(3 * time.Second)
	is.Equal(len(log["run found"]), 2)
	is.Equal(len(log["task started by two owners"]), 0)
}

// startsOf counts the starts of a task that owners have ordered.
func startsOf(log eventLog, id job.TaskID) int {
	count := 0
	for _, line := range log["start ordered"] {
		if line["task"] == id.String() {
			count++
		}
	}
	return count
}
