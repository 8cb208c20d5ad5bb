package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/pool"
	"lemonstream.dev/lemonstream/shard"
)

const asleep = "asleep"

var instanceCapacity = job.Room{
	MilliCPU: 16_000,
	MemoryMB: 32_000,
}

// sizerOptions returns the options of a sizer for which a move takes the given time.
func sizerOptions(move time.Duration) pool.Options {
	return pool.Options{
		MoveTime:     move,
		MaintainTime: 2 * time.Second,
		MoveCost:     pool.DefaultMoveCost,
	}
}

// fleet is a simulated fleet: the view that a test prepares and the sizer under test.
type fleet struct {
	view  pool.View
	sizer *pool.Sizer
}

func newFleet(counts map[string]int) *fleet {
	f := &fleet{
		sizer: pool.NewSizer(sizerOptions(1500 * time.Millisecond)),
	}
	f.view.Now = time.UnixMilli(1_000_000)
	for _, name := range []string{"a", "b", asleep} {
		service := pool.Service{
			Name:   name,
			Asleep: name == asleep,
			Known:  name != asleep,
		}
		service.Load.Workers = make(map[string]shard.WorkerLoad)
		for i := 0; i < counts[name]; i++ {
			m := outside.Instance{
				ID:       fmt.Sprintf("%s%02d", name, i),
				Pool:     name,
				State:    outside.InstanceUp,
				Capacity: instanceCapacity,
			}
			if name != asleep {
				m.Worker = "w-" + m.ID
				service.Load.Workers[m.Worker] = shard.WorkerLoad{
					Known:   true,
					Reached: true,
				}
			}
			f.view.Instances = append(f.view.Instances, m)
		}
		f.view.Services = append(f.view.Services, service)
	}
	return f
}

func (f *fleet) service(name string) *pool.Service {
	for i := range f.view.Services {
		if f.view.Services[i].Name == name {
			return &f.view.Services[i]
		}
	}
	return nil
}

// plan advances the time by one round of 200 ms, makes a plan and marks the workers as closed or
// open accordingly.
func (f *fleet) plan() pool.Plan {
	f.view.Now = f.view.Now.Add(200 * time.Millisecond)
	plan := f.sizer.Plan(f.view)
	for _, service := range f.view.Services {
		closed := make(map[string]bool)
		for _, worker := range plan.Closed[service.Name] {
			closed[worker] = true
		}
		for id, load := range service.Load.Workers {
			load.Closed = closed[id]
			service.Load.Workers[id] = load
		}
	}
	return plan
}

func cpu(cores int) job.Room {
	return job.Room{
		MilliCPU: cores * 1000,
	}
}

func TestIdleInstancesGoToSleep(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a": 8,
		"b": 3,
	})
	is.Equal(len(f.plan().Moves), 0) // Workers are closed first.
	moves := f.plan().Moves
	is.Equal(len(moves), 5) // Instances are moved once their workers are closed.
	for _, move := range moves {
		is.Equal(move.To, asleep)
	}
}

func TestWorkingInstanceIsClosedAndNotMoved(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a": 4,
		"b": 3,
	})
	for id, load := range f.service("a").Load.Workers {
		load.Runs = 2
		f.service("a").Load.Workers[id] = load
	}
	f.plan()
	plan := f.plan()
	is.Equal(len(plan.Closed["a"]), 1)
	is.Equal(len(plan.Moves), 0)
}

func TestClosedWorkerStaysClosed(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a": 4,
		"b": 3,
	})
	workers := f.service("a").Load.Workers
	for id, load := range workers {
		load.Runs = 2
		load.Lasting = 2
		workers[id] = load
	}
	first := f.plan().Closed["a"]
	is.Equal(len(first), 1)
	// The load of the other workers drops below that of the closed worker, so it is no longer
	// the emptiest.
	for id, load := range workers {
		if id != first[0] {
			load.Runs = 1
			load.Lasting = 1
			workers[id] = load
		}
	}
	is.Equal(f.plan().Closed["a"], first)
}

func TestDemandWakesInstances(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    3,
		asleep: 20,
	})
	f.service("a").Load.Used = cpu(40)
	f.service("a").Load.Waiting = cpu(100)
	is.True(len(f.plan().Moves) >= 6)
}

// TestReducedCapacityWakesInstances covers a service whose workers report half of their former
// capacity while the list of instances still shows the original one.
func TestReducedCapacityWakesInstances(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    10,
		asleep: 20,
	})
	f.service("a").Load.Used = cpu(8 * 16)
	before := f.plan().Targets["a"]
	f.service("a").Load.Room = job.Room{
		MilliCPU: instanceCapacity.MilliCPU / 2,
		MemoryMB: instanceCapacity.MemoryMB / 2,
	}
	is.Equal(f.plan().Targets["a"], 2*before)
}

func TestServicePastPeakReleasesInstances(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a": 20,
		"b": 3,
	})
	f.service("a").Load.Used = cpu(300)
	f.plan()
	f.service("a").Load.Used = cpu(32)
	f.service("b").Load.Waiting = cpu(200)
	f.plan()
	plan := f.plan()
	is.True(len(plan.Moves) >= 10) // The recent peak of demand must not hold them.
	for _, move := range plan.Moves {
		is.Equal(move.To, "b")
	}
}

func TestWaveRespectsLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    3,
		"b":    3,
		asleep: 10,
	})
	wave := &pool.Wave{
		Seen: f.view.Now,
		Done: make(map[string]bool),
	}
	wave.Number = 1
	wave.AtOnce = 4
	wave.Within = time.Minute
	for _, m := range f.view.Instances {
		wave.Instances = append(wave.Instances, m.ID)
	}
	f.view.Waves = []*pool.Wave{wave}
	plan := f.plan()
	is.Equal(len(plan.Maintenances), 4)
	for _, m := range plan.Maintenances {
		is.Equal(m.Pool, asleep) // Sleeping instances go first, since no tasks run there.
		f.sizer.Ordered(m.Instance, "", m.Worker, m.Wave, f.view.Now)
		wave.Done[m.Instance] = true
	}
	is.Equal(len(f.plan().Maintenances), 0) // Four are down.
	is.True(!wave.Complete(f.view.Instances))
}

func TestUnknownLoadMovesNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a": 8,
	})
	f.service("a").Known = false
	f.plan()
	plan := f.plan()
	is.Equal(len(plan.Moves), 0)
	is.Equal(len(plan.Closed), 0)
}

func TestServiceWithRisingDemandKeepsInstances(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    20,
		"b":    10,
		asleep: 8,
	})
	for i := range f.view.Instances {
		if f.view.Instances[i].Pool == asleep {
			f.view.Instances[i].State = outside.InstanceDown
		}
	}
	f.service("a").Load.Used = cpu(200)
	for cores := 20; cores < 100; cores += 16 {
		f.service("b").Load.Used = cpu(cores)
		f.plan()
	}
	// Service a lacks instances now, and b will soon.
	f.service("a").Load.Used = cpu(330)
	f.service("b").Load.Used = cpu(110)
	is.Equal(len(f.plan().Closed["b"]), 0)
}

// TestUnpolledWorkerIsNotEmpty covers a new owner of a service, which reports no runs on a worker
// before its first poll.
func TestUnpolledWorkerIsNotEmpty(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a": 8,
		"b": 3,
	})
	wave := &pool.Wave{
		Seen: f.view.Now,
		Done: make(map[string]bool),
	}
	wave.Number = 1
	wave.AtOnce = 8
	wave.Within = time.Minute
	for _, m := range f.view.Instances {
		wave.Instances = append(wave.Instances, m.ID)
	}
	f.view.Waves = []*pool.Wave{wave}
	f.plan()
	for id, load := range f.service("a").Load.Workers {
		load.Known = false
		f.service("a").Load.Workers[id] = load
	}
	plan := f.plan()
	for _, m := range plan.Maintenances {
		is.True(m.Pool != "a")
	}
	for _, m := range plan.Moves {
		is.True(m.From != "a")
	}
}

func TestLabelledTasksWakeLabelledInstances(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    4,
		"b":    3,
		asleep: 6,
	})
	for i := range f.view.Instances {
		if f.view.Instances[i].ID == asleep+"04" {
			f.view.Instances[i].Labels = []string{"x"}
		}
	}
	f.service("a").Load.Labelled = map[string]job.Room{
		"x": cpu(2),
	}
	plan := f.plan()
	is.Equal(len(plan.Moves), 1)
	is.Equal(plan.Moves[0].Instance, asleep+"04")
}

func TestOnlyInstanceWithLabelIsNotClosed(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    3,
		"b":    3,
		asleep: 2,
	})
	f.view.Instances[0].Labels = []string{"x"}
	f.service("a").Load.Labelled = map[string]job.Room{
		"x": cpu(2),
	}
	wave := &pool.Wave{
		Seen: f.view.Now,
		Done: make(map[string]bool),
	}
	wave.Number = 1
	wave.AtOnce = 4
	wave.Within = time.Minute
	wave.Instances = []string{f.view.Instances[0].ID}
	f.view.Waves = []*pool.Wave{wave}
	is.Equal(len(f.plan().Closed["a"]), 0)
	// A second instance with the label can run the tasks instead.
	f.view.Instances[len(f.view.Instances)-1].Labels = []string{"x"}
	plan := f.plan()
	is.Equal(len(plan.Closed["a"]), 1)
	is.Equal(len(plan.Moves), 1)
}

// TestUnansweredOrderIsRepeated covers an unanswered order, which may take effect seconds later.
// Until a repetition is answered, the order counts as in progress, also against the limit of its
// wave.
func TestUnansweredOrderIsRepeated(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    3,
		"b":    3,
		asleep: 4,
	})
	wave := &pool.Wave{
		Seen: f.view.Now,
		Done: make(map[string]bool),
	}
	wave.Number = 1
	wave.AtOnce = 1
	wave.Within = time.Minute
	for _, m := range f.view.Instances {
		if m.Pool == asleep {
			wave.Instances = append(wave.Instances, m.ID)
		}
	}
	f.view.Waves = []*pool.Wave{wave}
	first := f.plan().Maintenances
	is.Equal(len(first), 1)
	f.sizer.Uncertain(first[0].Instance, first[0].Pool, "", first[0].Worker, first[0].Wave, f.view.Now)
	repeated := 0
	for i := 0; i < 50; i++ { // 10 s, within which the order may still take effect.
		for _, m := range f.plan().Maintenances {
			is.Equal(m, first[0])
			repeated++
			f.sizer.Refused(m.Instance, "", false, f.view.Now)
		}
	}
	is.True(repeated > 5)
	for _, m := range f.plan().Maintenances {
		is.Equal(m, first[0])
	}
	f.sizer.Ordered(first[0].Instance, "", first[0].Worker, first[0].Wave, f.view.Now)
	is.Equal(len(f.plan().Maintenances), 0) // The instance is now known to be down.
}

// TestScarcityKeepsInstancesForSpreadTasks covers a demand peak that exceeds the fleet while a
// service has long-running tasks of which no two may share a worker.
func TestScarcityKeepsInstancesForSpreadTasks(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    8,
		"b":    10,
		asleep: 2,
	})
	f.service("a").Load.Spread = 7
	f.service("b").Load.Waiting = cpu(1600)
	for i := 0; i < 5; i++ {
		is.True(f.plan().Targets["a"] >= 8)
	}
}

func TestDownInstanceIsReplaced(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    8,
		"b":    3,
		asleep: 4,
	})
	f.service("a").Load.Spread = 7
	f.plan()
	f.view.Instances[0].State = outside.InstanceDown
	moves := f.plan().Moves
	is.Equal(len(moves), 1)
	is.Equal(moves[0].To, "a")
}

// TestDemandIsExtrapolatedOverMoveTime lets demand rise by the same steps where a move takes 0.8,
// 1.5 and 3 s. An instance that is ordered now arrives after that time and has to meet the demand
// at that moment.
func TestDemandIsExtrapolatedOverMoveTime(t *testing.T) {
	is := is.New(t)
	targets := make([]int, 0, 3)
	for _, move := range []time.Duration{800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		f := newFleet(map[string]int{
			"a":    3,
			"b":    3,
			asleep: 90,
		})
		f.sizer = pool.NewSizer(sizerOptions(move))
		target := 0
		for step := range 4 {
			// 40 cores more in each round of 200 ms, that is 200 cores a second.
			f.service("a").Load.Waiting = cpu(40 * step)
			target = f.plan().Targets["a"]
		}
		targets = append(targets, target)
	}
	// Demand rose by 120 cores, that is 7.5 instances, within 600 ms.
	is.Equal(targets, []int{27, 36, 57})
}

// TestDemandBurstIsFollowedAndReleasedQuickly covers demand bursts of a few seconds. Pools reacted
// to a burst only in its fourth round and held its peak for half as long as the burst had lasted,
// while instances were idle.
func TestDemandBurstIsFollowedAndReleasedQuickly(t *testing.T) {
	is := is.New(t)
	f := newFleet(map[string]int{
		"a":    3,
		"b":    3,
		asleep: 90,
	})
	target := 0
	for step := range 3 {
		f.service("a").Load.Waiting = cpu(40 * step)
		target = f.plan().Targets["a"]
	}
	is.True(target >= 30) // Demand is five instances now and grows by as many in each 400 ms.
	f.service("a").Load.Waiting = job.Room{}
	for range 8 {
		target = f.plan().Targets["a"]
	}
	is.Equal(target, 3)
}
