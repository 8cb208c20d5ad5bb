// Package forecast predicts the demand of services that have demand bursts in turns, each of
// them at the same phase of a period that is not known beforehand. It does no I/O: a forecast
// depends only on the observations passed in. Where the forecast is no better than following,
// the assumption that demand stays as it is, it says so and predicts nothing.
package forecast

import (
	"time"
)

const (
	// Step is the resolution of the history. It is the interval of the rounds that observe the
	// demand; a finer history would only repeat values.
	Step = 200 * time.Millisecond

	// MinPeriod and MaxPeriod bound the periods that are looked for. Shorter ones are of no use
	// because a move of an instance takes 2 s; of longer ones a day shows no second turn.
	MinPeriod = 4 * time.Second

	// MaxPeriod is the longest period; see MinPeriod.
	MaxPeriod = 45 * time.Second

	// historySteps is the length of the history in steps: MaxPeriod, the smoothing and some
	// steps of slack.
	historySteps = 256

	// MaxServices bounds the number of services, and with it memory and time. The services
	// beyond it have no forecast.
	MaxServices = 256

	// maxFilledSteps is the longest pause between two observations that is filled with the
	// earlier value. A longer one is a gap. Rounds take up to three steps in a large fleet.
	maxFilledSteps = 3
)

const (
	minLag = int(MinPeriod / Step)
	maxLag = int(MaxPeriod / Step)
)

// Method is a way to find the period.
type Method int

// Methods to find the period.
const (
	// FilterBank runs one seasonal predictor for each possible period and takes the one with
	// the least error.
	FilterBank Method = iota

	// Autocorrelation takes the lag at which the demand correlates best with itself.
	Autocorrelation
)

// Options holds the settings of a Forecaster.
type Options struct {
	// Horizon is how far ahead predictions are made. Following is measured at this horizon.
	Horizon time.Duration

	Method Method
}

// Forecaster keeps the recent demand of each service and predicts it.
type Forecaster struct {
	opts    Options
	horizon int

	// services maps a service to its column in the rows of the history.
	services map[string]int
	names    []string

	// rows holds the demand by step and service and smoothed its mean over three steps, each
	// as a ring by step number; a negative value is a gap. last is the number of the last
	// step, -1 if there is none, and lastAt its time.
	rows     [historySteps][]float32
	smoothed [historySteps][]float32
	last     int
	lastAt   time.Time

	// observed counts the steps that this Forecaster observed itself, as opposed to steps that
	// were restored.
	observed int

	scores scores
	trust  trust
}

// gap is the value of a step without an observation.
const gap = -1

// New returns a Forecaster without history.
func New(opts Options) *Forecaster {
	return &Forecaster{
		opts:     opts,
		horizon:  max(1, int(opts.Horizon/Step)),
		services: make(map[string]int),
		last:     -1,
	}
}

// Observe records the demand of services at a time. Services that are not named have a gap.
// Observations within the same step are dropped, as are those from the past.
func (f *Forecaster) Observe(now time.Time, demand map[string]float64) {
	if f.last < 0 {
		f.lastAt = now.Add(-Step)
	}
	steps := int((now.Sub(f.lastAt) + Step/2) / Step)
	if steps <= 0 {
		return
	}
	row := f.newRow(demand)
	if steps > historySteps {
		// Nothing of the history is of use any more.
		f.clear()
		f.lastAt = now.Add(-Step)
		steps = 1
	}
	for missing := steps - 1; missing > 0; missing-- {
		if steps <= maxFilledSteps {
			f.push(f.row(f.last))
			continue
		}
		f.push(nil)
	}
	// The steps lie on a fixed grid: rounds that take longer than a step don't shift the phase.
	f.lastAt = f.lastAt.Add(time.Duration(steps) * Step)
	f.push(row)
	f.observed++
	f.trust.update(f)
}

// newRow returns the row of an observation, and adds the services that are new.
func (f *Forecaster) newRow(demand map[string]float64) []float32 {
	for name := range demand {
		if _, found := f.services[name]; !found && len(f.names) < MaxServices {
			f.services[name] = len(f.names)
			f.names = append(f.names, name)
		}
	}
	row := make([]float32, len(f.names))
	for i := range row {
		row[i] = gap
	}
	for name, value := range demand {
		if column, found := f.services[name]; found && value >= 0 {
			row[column] = float32(value)
		}
	}
	return row
}

// clear drops the history and what was learned from it.
func (f *Forecaster) clear() {
	f.last = -1
	f.scores = scores{}
	f.trust = trust{}
}

// push adds a row as the next step. A nil row is a gap for every service.
func (f *Forecaster) push(row []float32) {
	f.last++
	f.rows[f.last%historySteps] = row
	f.smoothed[f.last%historySteps] = row
	if f.last > 0 {
		f.smoothed[(f.last-1)%historySteps] = f.smooth(f.last - 1)
	}
	f.scores.update(f)
}

// row returns the demand at a step, or nil if the step is a gap or out of the history.
func (f *Forecaster) row(step int) []float32 {
	if step < 0 || step <= f.last-historySteps || step > f.last {
		return nil
	}
	return f.rows[step%historySteps]
}

// smoothedRow returns the smoothed demand at a step, or nil.
func (f *Forecaster) smoothedRow(step int) []float32 {
	if step < 0 || step <= f.last-historySteps || step > f.last {
		return nil
	}
	return f.smoothed[step%historySteps]
}

// smooth returns the mean of a step and its neighbours, as far as they are known. Single values
// vary with the arrival of single jobs.
func (f *Forecaster) smooth(step int) []float32 {
	middle := f.row(step)
	if middle == nil {
		return nil
	}
	smooth := make([]float32, len(middle))
	for i, value := range middle {
		sum, count := float32(0), float32(0)
		for _, row := range [][]float32{f.row(step - 1), middle, f.row(step + 1)} {
			if i < len(row) && row[i] >= 0 {
				sum += row[i]
				count++
			}
		}
		smooth[i] = value
		if value >= 0 {
			smooth[i] = sum / count
		}
	}
	return smooth
}

// Expected returns the demand of a service that is expected after a time, and whether there is a
// forecast. There is none while the forecast is not better than following.
func (f *Forecaster) Expected(service string, ahead time.Duration) (float64, bool) {
	lag := f.trust.lag
	column, found := f.services[service]
	if lag == 0 || !found {
		return 0, false
	}
	step := f.last + int((ahead+Step/2)/Step) - lag
	for step > f.last-1 {
		step -= lag
	}
	row := f.smoothedRow(step)
	if column >= len(row) || row[column] < 0 {
		return 0, false
	}
	return float64(row[column]), true
}
