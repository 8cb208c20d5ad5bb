package pool_test

import (
	"fmt"
	"math"
	"sort"
	"time"

	"lemonstream.dev/lemonstream/internal/demand"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/pool"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// simulationTick is the resolution of the simulation, loadDelay the age of the loads that a
	// plan is based on, registerTime the time until a moved instance takes work.
	simulationTick = 20 * time.Millisecond
	loadDelay      = 100 * time.Millisecond
	registerTime   = 200 * time.Millisecond
	moveTime       = 1500 * time.Millisecond

	// simulatedLength is the length of a simulation, simulatedChange when a scenario changes
	// and simulatedMean the mean demand of a service in instances.
	simulatedLength = 72 * time.Second
	simulatedChange = 40 * time.Second
	simulatedMean   = 6

	// ordersPerRound is how many orders the platform takes in a round.
	ordersPerRound = 12

	// objectiveFactor and objectiveSlack give the objective of a job from its run time. It
	// is dropped once it has waited for maxWait.
	objectiveFactor = 1.6
	objectiveSlack  = 600 * time.Millisecond
	maxWait         = 3 * time.Second
)

// simulation plays a series of jobs against a Sizer.
type simulation struct {
	sizer     *pool.Sizer
	now       time.Duration
	jobs      []demand.Job
	instances []*simulatedInstance
	waiting   [demand.Services][]demand.Job
	closed    map[string]bool
	outcome   outcome
	waits     []time.Duration

	// gapFrom and gapTo bound the time in which no plan is made.
	gapFrom, gapTo time.Duration

	// afterPlan is called with the view and the plan of each round.
	afterPlan func(pool.View, pool.Plan)
}

type simulatedInstance struct {
	id, worker, pool string
	readyAt          time.Duration
	runs             []simulatedRun
	used             float64
	moves            int
}

type simulatedRun struct {
	start time.Duration
	end   time.Duration
	cores float64
}

// outcome is what a simulation measures.
type outcome struct {
	moves    int
	byReason map[string]int

	// awake is the time that instances are in pools of services, in instance seconds; unmet is
	// the demand that waits, in instance seconds.
	awake float64
	unmet float64

	// value is the mean value of a job: 1 within its objective, 0.3 up to three times of it.
	// wait95 is the 95th percentile of the waits of jobs that come in the first 2 s of a turn.
	value  float64
	wait95 time.Duration
}

func serviceName(service int) string { return fmt.Sprintf("s%d", service) }

// newSimulation returns a simulation with a number of instances, most of them asleep.
func newSimulation(instances int, withForecast bool, scenario demand.Scenario, seed uint64) *simulation {
	opts := sizerOptions(moveTime)
	opts.Forecast = withForecast
	s := &simulation{
		sizer:  pool.NewSizer(opts),
		jobs:   demand.Jobs(scenario, simulatedLength, simulatedMean, seed),
		closed: make(map[string]bool),

		gapFrom: scenario.GapFrom,
		gapTo:   scenario.GapTo,
	}
	s.outcome.byReason = make(map[string]int)
	for i := range instances {
		m := &simulatedInstance{
			id:   fmt.Sprintf("i%03d", i),
			pool: asleep,
		}
		if i < demand.Services*minInstances {
			m.pool = serviceName(i % demand.Services)
			m.worker = "w-" + m.id
		}
		s.instances = append(s.instances, m)
	}
	return s
}

// run plays the series to its end.
func (s *simulation) run() outcome {
	next := 0
	good := 0.0
	for ; s.now < simulatedLength; s.now += simulationTick {
		for ; next < len(s.jobs) && s.jobs[next].At <= s.now; next++ {
			s.waiting[s.jobs[next].Service] = append(s.waiting[s.jobs[next].Service], s.jobs[next])
		}
		good += s.startJobs()
		inGap := s.now >= s.gapFrom && s.now < s.gapTo
		if s.now%planInterval == 0 && !inGap {
			s.plan()
		}
		for _, m := range s.instances {
			if m.pool != asleep {
				s.outcome.awake += simulationTick.Seconds()
			}
		}
		for _, list := range s.waiting {
			for _, one := range list {
				s.outcome.unmet += one.Cores / demand.InstanceCores * simulationTick.Seconds()
			}
		}
	}
	s.outcome.value = good / float64(next)
	sort.Slice(s.waits, func(i, j int) bool { return s.waits[i] < s.waits[j] })
	if len(s.waits) > 0 {
		s.outcome.wait95 = s.waits[len(s.waits)*95/100]
	}
	return s.outcome
}

// startJobs ends and starts runs, and returns the value of the jobs started.
func (s *simulation) startJobs() float64 {
	value := 0.0
	for _, m := range s.instances {
		left := m.runs[:0]
		for _, r := range m.runs {
			if r.end <= s.now {
				m.used -= r.cores
				continue
			}
			left = append(left, r)
		}
		m.runs = left
	}
	for service := range s.waiting {
		var left []demand.Job
		tooLarge := math.Inf(1)
		for _, one := range s.waiting[service] {
			wait := s.now - one.At
			var m *simulatedInstance
			if one.Cores < tooLarge {
				m = s.place(service, one)
			}
			if m == nil {
				tooLarge = min(tooLarge, one.Cores)
			}
			if m == nil && wait < maxWait {
				left = append(left, one)
				continue
			}
			if one.At%(4500*time.Millisecond) < 2*time.Second && one.At > 22*time.Second {
				s.waits = append(s.waits, wait)
			}
			if m == nil {
				continue
			}
			m.used += one.Cores
			m.runs = append(m.runs, simulatedRun{
				start: s.now,
				end:   s.now + one.Run,
				cores: one.Cores,
			})
			switch objective := objectiveOf(one); {
			case wait+one.Run <= objective:
				value++
			case wait+one.Run <= 3*objective:
				value += 0.3
			}
		}
		s.waiting[service] = left
	}
	return value
}

func objectiveOf(one demand.Job) time.Duration {
	return time.Duration(objectiveFactor*float64(one.Run)) + objectiveSlack
}

// place returns an instance on which a job fits, nil if there is none.
func (s *simulation) place(service int, one demand.Job) *simulatedInstance {
	name := serviceName(service)
	for _, m := range s.instances {
		if m.pool == name && m.readyAt <= s.now && !s.closed[m.worker] && m.used+one.Cores <= demand.InstanceCores {
			return m
		}
	}
	return nil
}

// plan makes a plan and carries it out.
func (s *simulation) plan() {
	view := s.view()
	plan := s.sizer.Plan(view)
	if s.afterPlan != nil {
		s.afterPlan(view, plan)
	}
	s.closed = make(map[string]bool)
	for _, list := range plan.Closed {
		for _, worker := range list {
			s.closed[worker] = true
		}
	}
	byID := make(map[string]*simulatedInstance)
	for _, m := range s.instances {
		byID[m.id] = m
	}
	for _, move := range plan.Moves[:min(len(plan.Moves), ordersPerRound)] {
		m := byID[move.Instance]
		if len(m.runs) > 0 {
			continue
		}
		s.sizer.Ordered(move.Instance, move.To, move.Worker, 0, view.Now)
		s.outcome.moves++
		s.outcome.byReason[move.Reason]++
		m.moves++
		m.pool = move.To
		m.worker = ""
		m.readyAt = s.now + moveTime
		if move.To != asleep {
			m.worker = fmt.Sprintf("w-%s-%d", m.id, m.moves)
			m.readyAt += registerTime
		}
	}
}

// expectedLeft returns how much longer a run is expected to take, as an owner reports it.
func expectedLeft(passed time.Duration) time.Duration {
	if passed < demand.MeanRun {
		return demand.MeanRun - passed
	}
	return passed / 2
}

// view returns the fleet as the controller sees it.
func (s *simulation) view() pool.View {
	view := pool.View{
		Now: time.UnixMilli(1_000_000).Add(s.now),
	}
	for service := range demand.Services {
		load := shard.Load{
			Workers: make(map[string]shard.WorkerLoad),
		}
		for _, m := range s.instances {
			if m.pool != serviceName(service) || m.readyAt > s.now {
				continue
			}
			load.Used.MilliCPU += int(m.used * 1000)
			worker := shard.WorkerLoad{
				Runs:    len(m.runs),
				Known:   true,
				Reached: true,
				Closed:  s.closed[m.worker],
			}
			for _, r := range m.runs {
				worker.Busy = max(worker.Busy, expectedLeft(s.now-r.start))
			}
			load.Workers[m.worker] = worker
		}
		for _, one := range s.waiting[service] {
			if s.now-one.At < loadDelay {
				continue
			}
			load.Waiting.MilliCPU += int(one.Cores * 1000)
			if s.now-one.At+one.Run > objectiveOf(one) {
				load.Late.MilliCPU += int(one.Cores * 1000)
			}
		}
		view.Services = append(view.Services, pool.Service{
			Name:  serviceName(service),
			Known: true,
			Load:  load,
		})
	}
	view.Services = append(view.Services, pool.Service{
		Name:   asleep,
		Asleep: true,
	})
	for _, m := range s.instances {
		state := outside.InstanceUp
		if s.now < m.readyAt-registerTime {
			state = outside.InstanceMoving
		}
		view.Instances = append(view.Instances, outside.Instance{
			ID:     m.id,
			Pool:   m.pool,
			State:  state,
			Worker: m.worker,
			Capacity: job.Room{
				MilliCPU: demand.InstanceCores * 1000,
			},
		})
	}
	return view
}
