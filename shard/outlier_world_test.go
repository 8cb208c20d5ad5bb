package shard_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outlier"
)

// failingDay is a simulation run in which some workers fail what they start.
type failingDay struct {
	w    *world
	draw *rand.Rand

	// workers is the number of workers, badShare the share of them that fails badRate of all runs
	// for badFor.
	workers  int
	badShare float64
	badRate  float64
	badFor   time.Duration

	// load is the share of the capacity that is asked for, and turn for how long it is double.
	load float64
	turn time.Duration

	// takeovers says that the owner is replaced while workers are bad.
	takeovers bool

	// bad holds until when a worker fails runs, hopeless the jobs that can never be done, hit the
	// failed runs on bad workers by job, failedAt the times of the failed runs of a bad worker.
	bad      map[string]time.Time
	hopeless map[string]bool
	hit      map[string]int
	failedAt map[string][]time.Time
	began    map[string]time.Time
	stats    failingStats
}

// failingStats are the results of one or more such runs.
type failingStats struct {
	jobs, innocent, hopeless, ejected, wrongly, worst int
	latency                                           []time.Duration
}

const (
	hopelessShare = 0.03
	ownFaultShare = 0.01
)

// newFailingDay returns a day on workers of 32 cores. Mutations change it before it runs.
func newFailingDay(seed uint64, mutate func(*failingDay)) *failingDay {
	d := &failingDay{
		w:        newWorld(0),
		draw:     rand.New(rand.NewPCG(seed, 7)),
		workers:  24,
		badShare: 0.08,
		badRate:  1,
		badFor:   9 * time.Second,
		load:     0.5,
		turn:     4500 * time.Millisecond,
		bad:      make(map[string]time.Time),
		hopeless: make(map[string]bool),
		hit:      make(map[string]int),
		failedAt: make(map[string][]time.Time),
		began:    make(map[string]time.Time),
	}
	d.takeovers = seed%2 == 1
	mutate(d)
	d.w.logEvent = d.logEvent
	d.w.takeOver()
	for range d.workers {
		d.addWorker()
	}
	d.w.list()
	d.w.run(200 * time.Millisecond)
	return d
}

// addWorker adds a worker of 32 cores that fails runs while it is bad, and some by their own fault.
func (d *failingDay) addWorker() {
	id := d.w.nextWorkerID()
	f := d.w.addWorker(id, fmt.Sprintf("r%d-1", len(d.w.workers)%3))
	f.reg.Capacity = job.Room{
		MilliCPU: 32_000,
		MemoryMB: 64_000,
	}
	f.fails = func(task job.TaskID) bool {
		if d.w.now.Before(d.bad[id]) && d.draw.Float64() < d.badRate {
			d.hit[task.Job]++
			d.failedAt[id] = append(d.failedAt[id], d.w.now)
			return true
		}
		return d.hopeless[task.Job] || d.draw.Float64() < ownFaultShare
	}
}

// run runs the day: workers turn bad after 3 s and again after 16 s, and one moves every 2 s.
func (d *failingDay) run() {
	nextMove := d.w.now.Add(2 * time.Second)
	start := d.w.now
	for i := 0; d.w.now.Sub(start) < 30*time.Second; i++ {
		at := d.w.now.Sub(start)
		if i == 60 || i == 320 {
			d.turnBad()
		}
		if d.takeovers && i == 130 {
			d.w.takeOver()
		}
		if !d.w.now.Before(nextMove) {
			nextMove = nextMove.Add(2 * time.Second)
			d.move()
		}
		d.submit(at)
		d.w.run(5 * tick)
	}
	d.w.run(30 * time.Second)
	d.count()
}

// turnBad makes badShare of the workers fail.
func (d *failingDay) turnBad() {
	left := max(1, int(d.badShare*float64(d.workers)+0.5))
	if d.badShare == 0 {
		return
	}
	for _, i := range d.draw.Perm(len(d.w.workers)) {
		id := fmt.Sprintf("w%d", i)
		if !d.w.workers[id].down && left > 0 {
			left--
			d.bad[id] = d.w.now.Add(d.badFor)
		}
	}
}

// move replaces an empty worker, if there is one, by another.
func (d *failingDay) move() {
	for i := range len(d.w.workers) {
		if f := d.w.workers[fmt.Sprintf("w%d", i)]; !f.down && len(f.runs) == 0 {
			f.down = true
			d.w.core.RemoveTaken([]string{f.reg.ID}, d.w.now)
			d.addWorker()
			d.w.list()
			return
		}
	}
}

// submit submits the jobs of 50 ms. A job has three tasks of 2.9 cores and some 1.2 s.
func (d *failingDay) submit(at time.Duration) {
	load := d.load
	if at > 5*time.Second && at < 5*time.Second+d.turn {
		load *= 2
	}
	perStep := load * float64(d.workers) * 32 / 2.9 / 1.2 * 0.05 / 3
	for n := int(perStep + d.draw.Float64()); n > 0; n-- {
		id := fmt.Sprintf("j%d", len(d.began))
		s := step(3)
		s.Need.MilliCPU = 2900
		s.Estimate = time.Duration(800+d.draw.IntN(900)) * time.Millisecond
		s.Image = fmt.Sprintf("image%d", d.draw.IntN(4))
		d.w.policy.Attempts = 2
		if s.Image == "image0" {
			d.w.policy.Attempts = 4
			d.hopeless[id] = d.draw.Float64() < hopelessShare
		}
		d.began[id] = d.w.now
		d.w.submit(id, s)
	}
}

func (d *failingDay) logEvent(event string, fields ...any) {
	if event != outlier.EventEjected {
		return
	}
	d.stats.ejected++
	name, _, _ := strings.Cut(fields[1].(string), "@")
	until, found := d.bad[name]
	// Ends are reported after a while.
	if !found || d.w.now.After(until.Add(2*time.Second)) {
		d.stats.wrongly++
	}
}

// count counts the jobs that were shown as failed although another worker would have done them.
func (d *failingDay) count() {
	for id, began := range d.began {
		d.stats.jobs++
		end, ended := d.w.reported[id]
		switch {
		case d.hopeless[id]:
			d.stats.hopeless++
		case ended && end.state == job.Failed && d.hit[id] > 0:
			d.stats.innocent++
		case ended:
			d.stats.latency = append(d.stats.latency, end.at.Sub(began))
		}
	}
	for _, times := range d.failedAt {
		for i := range times {
			n := 0
			for _, at := range times[i:] {
				if at.Sub(times[i]) <= 10*time.Second {
					n++
				}
			}
			d.stats.worst = max(d.stats.worst, n)
		}
	}
}

// add adds the results of another run.
func (s *failingStats) add(o failingStats) {
	s.jobs += o.jobs
	s.innocent += o.innocent
	s.hopeless += o.hopeless
	s.ejected += o.ejected
	s.wrongly += o.wrongly
	s.worst = max(s.worst, o.worst)
	s.latency = append(s.latency, o.latency...)
}

// countFailures is an estimator that does not tell workers from jobs: each failure counts against
// the worker and each success for it.
func countFailures(o outlier.Observation) (worker, work float64) {
	if o.Failed {
		return 2, 0
	}
	return -2, 0
}
