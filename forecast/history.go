package forecast

import (
	"math"
	"sort"
	"time"
)

const (
	// maxCoarseness is the largest number of steps that one value of a History stands for.
	// Coarser values would blur the begin of a turn by more than an instance's move takes.
	maxCoarseness = 4

	// seriesOverhead is the size of the encoding of a series beside its name and values, in
	// bytes.
	seriesOverhead = 20

	// historyOverhead is that of the encoding of a History.
	historyOverhead = 16

	// maxLevel is the value that stands for the peak of a series, and gapLevel for a gap.
	maxLevel = 254
	gapLevel = 255

	// maxPeak is the largest peak that is restored, in instances, far above any installation.
	// Demand is stored as float32, in which larger values such as 1e300 become infinite: the
	// forecast would stay off for as long as the history holds them.
	maxPeak = 1e6
)

// History is the recent demand in a compact form, for a successor.
type History struct {
	// Step is the time between two values. The last values of all series are of the same time.
	Step   time.Duration
	Series []Series
}

// Series is the demand of one service. A value v stands for Peak*v/254 instances, 255 for a gap.
type Series struct {
	Service string
	Peak    float64
	Values  []byte
}

// History returns the recent demand in at most limit bytes once it is encoded. If there is no room
// for every service, those whose demand changes the least are left out.
func (f *Forecaster) History(limit int) History {
	changes := make(map[string]float64, len(f.names))
	names := make([]string, 0, len(f.names))
	for column, name := range f.names {
		if change := f.change(column); change > 0 {
			changes[name] = change
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := changes[names[i]], changes[names[j]]
		if a != b {
			return a > b
		}
		return names[i] < names[j]
	})
	coarse := 1
	for coarse < maxCoarseness && f.historySize(names, coarse) > limit {
		coarse *= 2
	}
	for len(names) > 0 && f.historySize(names, coarse) > limit {
		names = names[:len(names)-1]
	}
	history := History{
		Step: time.Duration(coarse) * Step,
	}
	for _, name := range names {
		history.Series = append(history.Series, f.series(name, coarse))
	}
	return history
}

// known returns the number of steps in the history.
func (f *Forecaster) known() int { return min(f.last+1, historySteps) }

func (f *Forecaster) historySize(names []string, coarse int) int {
	size := historyOverhead
	for _, name := range names {
		size += seriesOverhead + len(name) + f.known()/coarse
	}
	return size
}

// change returns the sum of the changes of a service's demand from step to step.
func (f *Forecaster) change(column int) float64 {
	sum := 0.0
	before := float32(gap)
	for step := f.last - f.known() + 1; step <= f.last; step++ {
		row := f.smoothedRow(step)
		if column >= len(row) || row[column] < 0 {
			continue
		}
		if before >= 0 {
			sum += math.Abs(float64(row[column] - before))
		}
		before = row[column]
	}
	return sum
}

// series returns the demand of a service, with one value for coarse steps.
func (f *Forecaster) series(name string, coarse int) Series {
	column := f.services[name]
	count := f.known() / coarse
	means := make([]float64, count)
	series := Series{
		Service: name,
		Values:  make([]byte, count),
	}
	for i := range means {
		sum, known := 0.0, 0
		for step := f.last - (count-i)*coarse + 1; step <= f.last-(count-i-1)*coarse; step++ {
			if row := f.row(step); column < len(row) && row[column] >= 0 {
				sum += float64(row[column])
				known++
			}
		}
		means[i] = gap
		if known > 0 {
			means[i] = sum / float64(known)
		}
		series.Peak = max(series.Peak, means[i])
	}
	for i, mean := range means {
		switch {
		case mean < 0:
			series.Values[i] = gapLevel
		case series.Peak > 0:
			series.Values[i] = byte(math.Round(mean / series.Peak * maxLevel))
		}
	}
	return series
}

// Restore takes over a history whose last values were observed at about a time. It reports whether
// the history could be used. How long ago that was is not known exactly, so the phase is found
// anew: following is used until the first 3 s of own observations fit to the history.
func (f *Forecaster) Restore(history History, at time.Time) bool {
	if !history.valid() {
		return false
	}
	f.clear()
	f.observed = 0
	count := 0
	for _, series := range history.Series {
		count = max(count, len(series.Values))
	}
	for i := range count {
		demand := make(map[string]float64)
		for _, series := range history.Series {
			index := i - (count - len(series.Values))
			if index >= 0 && series.Values[index] != gapLevel {
				demand[series.Service] = series.Peak * float64(series.Values[index]) / maxLevel
			}
		}
		row := f.newRow(demand)
		for range int(history.Step / Step) {
			f.push(row)
		}
	}
	f.lastAt = at
	f.scores = scores{}
	f.trust = trust{}
	return true
}

// valid reports whether a history can be restored.
func (h History) valid() bool {
	if h.Step < Step || h.Step > maxCoarseness*Step || h.Step%Step != 0 || len(h.Series) == 0 || len(h.Series) > MaxServices {
		return false
	}
	for _, series := range h.Series {
		tooLong := time.Duration(len(series.Values))*h.Step > historySteps*Step
		if tooLong || math.IsNaN(series.Peak) || series.Peak < 0 || series.Peak > maxPeak {
			return false
		}
	}
	return true
}
