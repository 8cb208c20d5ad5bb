// Package demand generates series of jobs for tests and measurements of what follows or predicts
// demand. A series depends only on its scenario and seed.
package demand

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// Services is the number of services of each scenario.
	Services = 4

	// InstanceCores is the size of an instance in cores.
	InstanceCores = 16

	// turnFactor and restFactor are the demand in a turn and between turns, as multiples of the
	// mean.
	turnFactor = 5
	restFactor = 0.05

	// turn is the length of a turn and jump the shift of the scenario with a jump of the phase.
	turn = 4500 * time.Millisecond
	jump = 2700 * time.Millisecond

	// tick is the resolution of the arrivals.
	tick = 10 * time.Millisecond

	// MeanRun is the mean run time of a job.
	MeanRun = 700 * time.Millisecond

	// meanCores is the mean of the sizes in jobCores.
	meanCores = 3.75
)

// jobCores holds the sizes of jobs, each as likely as the others.
var jobCores = []float64{1, 2, 4, 8}

// Job is a job of a series.
type Job struct {
	Service int
	At      time.Duration
	Cores   float64
	Run     time.Duration
}

// Scenario describes a series. Level returns the demand of a service at a time as a multiple of
// its mean.
type Scenario struct {
	Name  string
	Level func(service int, at time.Duration) float64

	// HasTurns says that the turns keep their period, phase and order over the whole series.
	HasTurns bool

	// GapFrom and GapTo bound the time in which nothing is observed, both 0 if there is none.
	GapFrom time.Duration
	GapTo   time.Duration
}

// Scenarios returns all scenarios. Changes happen after change.
func Scenarios(change time.Duration) []Scenario {
	order := []int{0, 1, 2, 3}
	other := []int{0, 2, 1, 3}
	steady := inTurns(turn, 0, order)
	switched := func(after func(int, time.Duration) float64) func(int, time.Duration) float64 {
		return func(service int, at time.Duration) float64 {
			if at < change {
				return steady(service, at)
			}
			return after(service, at)
		}
	}
	return []Scenario{{
		Name:     "turns",
		Level:    steady,
		HasTurns: true,
	}, {
		Name:     "turns, begun in the middle of one",
		Level:    inTurns(turn, 2*time.Second, order),
		HasTurns: true,
	}, {
		Name:  "no turns",
		Level: func(int, time.Duration) float64 { return 1 },
	}, {
		Name:  "waves without a period",
		Level: irregular,
	}, {
		Name:  "period changes",
		Level: switched(inTurns(turn*4/3, 0, order)),
	}, {
		Name:  "phase jumps",
		Level: switched(inTurns(turn, jump, order)),
	}, {
		Name:  "turns stop",
		Level: switched(func(int, time.Duration) float64 { return restFactor }),
	}, {
		Name:  "other order",
		Level: switched(inTurns(turn, 0, other)),
	}, {
		Name:     "gap of 5 s",
		Level:    steady,
		HasTurns: true,
		GapFrom:  change,
		GapTo:    change + 5*time.Second,
	}}
}

// inTurns returns the level of services that have turns of a length in an order. The series
// begins at a time into the first turn.
func inTurns(length, begin time.Duration, order []int) func(int, time.Duration) float64 {
	return func(service int, at time.Duration) float64 {
		if order[int((at+begin)/length)%len(order)] == service {
			return turnFactor
		}
		return restFactor
	}
}

// irregular is a level that rises and falls without a common period.
func irregular(service int, at time.Duration) float64 {
	t := at.Seconds()
	phase := float64(service)
	return 1 + 0.45*math.Sin(t/3.1+phase) + 0.45*math.Sin(t/math.Sqrt(29)+2*phase)
}

// Jobs generates the jobs of a scenario, in order of arrival. Each service asks for mean
// instances on average at level 1.
func Jobs(scenario Scenario, length time.Duration, mean float64, seed uint64) []Job {
	random := rand.New(rand.NewPCG(seed, 1))
	var jobs []Job
	for at := time.Duration(0); at < length; at += tick {
		for service := range Services {
			cores := mean * InstanceCores * scenario.Level(service, at)
			rate := cores / (meanCores * MeanRun.Seconds())
			for range poisson(random, rate*tick.Seconds()) {
				jobs = append(jobs, Job{
					Service: service,
					At:      at,
					Cores:   jobCores[random.IntN(len(jobCores))],
					Run:     time.Duration(random.ExpFloat64() * float64(MeanRun)),
				})
			}
		}
	}
	return jobs
}

// poisson returns a random number with a Poisson distribution of a small mean.
func poisson(random *rand.Rand, mean float64) int {
	limit := math.Exp(-mean)
	count := 0
	for product := random.Float64(); product > limit; product *= random.Float64() {
		count++
	}
	return count
}

// InFlight returns the demand of each service in instances at each step, if every job starts when
// it arrives.
func InFlight(jobs []Job, length, step time.Duration) [][Services]float64 {
	series := make([][Services]float64, int(length/step))
	for _, job := range jobs {
		first := int((job.At + step - 1) / step)
		for i := first; i < len(series) && time.Duration(i)*step < job.At+job.Run; i++ {
			series[i][job.Service] += job.Cores / InstanceCores
		}
	}
	return series
}
