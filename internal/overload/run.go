// Package overload plays described demand against the real scheduler of a service, in
// simulated time: jobs arrive, workers run what they are told, rows always stand. It
// measures what callers get when more is asked for than there is room, beside plain
// baselines and a bound. The same seed gives the same figures.
package overload

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sort"
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// tick is the step of the simulated time.
	tick = 10 * time.Millisecond

	// answers is how long orders and transactions take.
	answers = tick

	// after is for how long a day goes on once demand has ended.
	after = 30 * time.Second

	// objective is what a job has beyond Stretch times its longest chain.
	objective = 600 * time.Millisecond
	stretch   = 1.6

	// most is the most tries of one caller.
	most = 4
)

// Demand is what is asked of the service.
type Demand struct {
	// Load is the work that is asked for in a time, as a part of the room.
	Load float64

	// Burst is by how many times more is asked for in the span from BurstAt on.
	Burst    float64
	BurstAt  time.Duration
	BurstFor time.Duration

	// For is how long the demand lasts.
	For time.Duration

	// Heavy is the share of jobs that are four times as wide.
	Heavy float64
}

// Policy is what decides.
type Policy struct {
	Name string

	// Admit is whether the service's own decision turns jobs away; Queue is the most
	// jobs that wait where it does not, 0 without a limit.
	Admit bool
	Queue int

	// ByArrival gives every job a priority by its arrival.
	ByArrival bool
}

// Result is what callers got, as parts of the work that was asked for.
type Result struct {
	// Served ended within its objective, Late within three times that; Refused was
	// turned away for good.
	Served  float64
	Late    float64
	Refused float64

	// Bound is what a planner could have served at the most; see bound.
	Bound float64

	// Wait50 and Wait95 are the times until the first task of a job started.
	Wait50 time.Duration
	Wait95 time.Duration

	// Tries is the mean number of tries of a caller.
	Tries float64
}

// caller is one job and who asks for it.
type caller struct {
	id      string
	spec    job.Spec
	arrived time.Time
	next    time.Time
	tries   int
	work    time.Duration
	limit   time.Duration

	asked   bool
	refused bool
	started time.Time
	ended   time.Time
}

// world is a service with its workers and callers.
type world struct {
	now     time.Time
	core    *shard.Shard
	policy  Policy
	workers map[string]*worker
	callers []*caller
	byID    map[string]*caller
	waiting int
	events  []event
	batch   *shard.Batch
}

// event is what happens at an instant.
type event struct {
	at time.Time
	do func()
}

// Run plays one day with a number of instances.
func Run(instances int, demand Demand, policy Policy, seed uint64) Result {
	w := newWorld(instances, policy)
	w.settle()
	begin := w.now
	w.arrive(demand, instances, rand.New(rand.NewPCG(seed, seed)))
	for w.now.Before(begin.Add(demand.For + after)) {
		w.step()
	}
	return w.result(float64(instances))
}

func newWorld(instances int, policy Policy) *world {
	w := &world{
		now:     time.UnixMilli(1_000_000),
		policy:  policy,
		workers: make(map[string]*worker),
		byID:    make(map[string]*caller),
	}
	var list []outside.Registration
	for i := range instances {
		id := fmt.Sprintf("w-%03d", i)
		reg := outside.Registration{
			ID:      id,
			Service: "s",
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
			Capacity: job.Room{
				MilliCPU: 16_000,
				MemoryMB: 65_536,
			},
		}
		list = append(list, reg)
		w.workers[id] = &worker{
			reg:  reg,
			runs: make(map[job.TaskID]run),
		}
	}
	w.core = shard.New("s", 1, 1, w.now, shard.Options{
		Lease:        4 * time.Second,
		BusyPollWait: time.Second,
		IdlePollWait: time.Second,
		StopTimeout:  400 * time.Millisecond,
		JobRetention: time.Hour,
		Policy:       func(string) (catalog.Policy, bool) { return catalog.Policy{}, false },
		LogEvent:     func(string, ...any) {},
		PublishState: w.show,
	})
	w.core.SetWorkers(list, time.Time{}, w.now)
	if policy.Admit {
		w.core.SetMaxInstances(instances)
	}
	return w
}

// settle lets the owner look at its workers.
func (w *world) settle() {
	for end := w.now.Add(500 * time.Millisecond); w.now.Before(end); {
		w.step()
	}
}

// arrive draws the callers of the whole day.
func (w *world) arrive(demand Demand, instances int, random *rand.Rand) {
	// A job takes some two instance-seconds on the mean.
	mean := meanWork(demand)
	for at := time.Duration(0); at < demand.For; {
		rate := demand.Load * float64(instances) / mean.Seconds()
		if at >= demand.BurstAt && at < demand.BurstAt+demand.BurstFor {
			rate *= demand.Burst
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		c := &caller{
			id:      fmt.Sprintf("%016x", random.Uint64()),
			spec:    draw(demand, random),
			arrived: w.now.Add(at),
		}
		c.next = c.arrived
		c.limit = objective
		for _, step := range c.spec.Steps {
			c.work += time.Duration(float64(step.Count) * float64(step.Need.MilliCPU) / 16_000 * float64(step.Estimate))
			c.limit += time.Duration(stretch * float64(step.Estimate))
		}
		w.callers = append(w.callers, c)
		w.byID[c.id] = c
	}
}

// The shape of a job: two steps of eight tasks, a second each.
const (
	steps    = 2
	width    = 8
	heavier  = 4
	takes    = time.Second
	milliCPU = 2300
)

func meanWork(demand Demand) time.Duration {
	light := time.Duration(steps * width * milliCPU * int64(takes) / 16_000)
	return time.Duration(float64(light) * (1 + demand.Heavy*(heavier-1)))
}

// draw returns the steps of a job.
func draw(demand Demand, random *rand.Rand) job.Spec {
	count := width
	if random.Float64() < demand.Heavy {
		count *= heavier
	}
	var spec job.Spec
	for i := range steps {
		step := job.Step{
			Count: count,
			Need: job.Room{
				MilliCPU: milliCPU,
				MemoryMB: 1000,
			},
			Estimate: time.Duration((0.5 + random.Float64()) * float64(takes)),
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// step lets a tick pass.
func (w *world) step() {
	w.now = w.now.Add(tick)
	w.deliver()
	w.ask()
	w.work()
	w.write()
	orders, _ := w.core.Next(w.now)
	w.carryOut(orders)
}

func (w *world) later(do func()) {
	w.events = append(w.events, event{
		at: w.now.Add(answers),
		do: do,
	})
}

func (w *world) deliver() {
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at.After(w.now) {
			w.events = append(w.events, e)
			continue
		}
		e.do()
	}
}

// ask hands in the jobs whose callers have come.
func (w *world) ask() {
	for _, c := range w.callers {
		if c.asked || c.next.After(w.now) {
			continue
		}
		c.asked = true
		c.tries++
		if w.policy.Queue > 0 && w.waiting >= w.policy.Queue {
			w.turnAway(c, time.Second)
			continue
		}
		record := shard.Record{
			ID:    c.id,
			Route: "q",
			Spec:  c.spec,
			Policy: catalog.Policy{
				Attempts: 3,
				Stretch:  stretch,
				Target:   objective,
			},
			AcceptedMillis: c.arrived.UnixMilli(),
		}
		if c.tries > 1 {
			record.AcceptedMillis = w.now.UnixMilli()
		}
		if w.policy.ByArrival {
			record.Policy.Priority = int(c.arrived.Sub(time.UnixMilli(0)).Milliseconds())
		}
		w.waiting++
		w.core.Submit(record, w.now, func(answer shard.SubmitResult) {
			if !answer.Accepted {
				w.waiting--
				w.turnAway(c, answer.RetryAfter)
			}
		})
	}
}

// turnAway lets a caller come back as it is told, as long as its job can be of use.
func (w *world) turnAway(c *caller, comeBack time.Duration) {
	c.next = w.now.Add(comeBack)
	c.asked = c.tries >= most || c.next.Sub(c.arrived) > 3*c.limit
	c.refused = c.asked
}

// write lets the batch stand that was taken a tick ago, and takes the next one.
func (w *world) write() {
	if w.batch != nil {
		w.core.BatchWritten(*w.batch, w.now)
		w.batch = nil
	}
	w.core.Confirm(w.core.WorkerRows(len(w.workers)), w.now)
	if b, found := w.core.NextBatch(outside.MaxEntries, w.now); found {
		w.batch = &b
	}
}

// carryOut does what the owner orders.
func (w *world) carryOut(orders shard.Orders) {
	sort.Slice(orders.Polls, func(i, j int) bool { return orders.Polls[i].Worker.ID < orders.Polls[j].Worker.ID })
	for _, hold := range orders.Polls {
		sent := w.now
		w.later(func() {
			one := w.workers[hold.Worker.ID]
			for len(one.ends) > 0 && one.ends[0].Number <= hold.Renewal.Acknowledged {
				one.ends = one.ends[1:]
			}
			w.core.Polled(hold, sent, w.now, one.glance(w.now), nil)
		})
	}
	for _, start := range orders.Starts {
		w.start(start)
	}
}

func (w *world) show(id string, state job.State) {
	if c := w.byID[id]; state == job.Completed && c != nil {
		c.ended = w.now
	}
}
