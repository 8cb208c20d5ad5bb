package pool_test

import (
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

// newOverloadedFleet returns a fleet at the change from a demand burst of service a to one of
// service b. All instances of a are busy, and its backlog needs ten times as many. If late is
// set, the work of a can no longer end in time.
func newOverloadedFleet(late bool) *fleet {
	f := newFleet(map[string]int{
		"a": 60,
		"b": 6,
	})
	a := f.service("a")
	a.Load.Used = cpu(60 * 16)
	a.Load.Waiting = cpu(600 * 16)
	a.Load.Coming = cpu(600 * 16)
	if late {
		a.Load.Late = cpu(660 * 16)
		a.Load.LateComing = cpu(600 * 16)
	}
	for id, worker := range a.Load.Workers {
		worker.Runs = 3
		a.Load.Workers[id] = worker
	}
	f.service("b").Load.Waiting = cpu(30 * 16)
	return f
}

// TestLateBacklogReleasesInstances checks that work that can no longer end in time does not
// hold instances that another service needs for work that can.
func TestLateBacklogReleasesInstances(t *testing.T) {
	is := is.New(t)
	f := newOverloadedFleet(true)
	plan := f.plan()
	is.True(plan.Counts["b"] >= 30)
	is.True(plan.Counts["a"] >= 3) // Service a keeps its minimum.
}

// TestTimelyBacklogSharesInstances covers two services that could each use every instance:
// both get some.
func TestTimelyBacklogSharesInstances(t *testing.T) {
	is := is.New(t)
	f := newOverloadedFleet(false)
	plan := f.plan()
	is.True(plan.Counts["a"] > plan.Counts["b"])
	is.True(plan.Counts["b"] >= 3)
}

// TestLateBacklogTakesOnlyUnneededInstances covers a late backlog of one service while the other
// has little demand. The late backlog takes none of the instances that the other service keeps
// for its next jobs.
func TestLateBacklogTakesOnlyUnneededInstances(t *testing.T) {
	is := is.New(t)
	f := newOverloadedFleet(true)
	b := f.service("b")
	b.Load = shard.Load{
		Used:    cpu(5 * 16),
		Workers: b.Load.Workers,
	}
	plan := f.plan()
	is.Equal(plan.Counts["b"], 6)
	is.Equal(len(plan.Closed["b"]), 0)
}

// TestLateBacklogWakesInstances covers a service whose whole backlog is late while sleeping
// instances are available.
func TestLateBacklogWakesInstances(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    4,
		"b":    3,
		asleep: 20,
	})
	a := f.service("a")
	a.Load.Waiting = job.Room{
		MilliCPU: 15 * 16_000,
	}
	a.Load.Late = a.Load.Waiting
	plan := f.plan()
	is.True(plan.Counts["a"] >= 15)
}
