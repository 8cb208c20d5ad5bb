package forecast

import "time"

const (
	// maxRatio is the largest error, as a share of the error of following, at which a forecast
	// is used. A forecast in use is dropped above dropRatio.
	maxRatio  = 0.4
	dropRatio = 0.6

	// recentSteps is the time over which a forecast must not be contradicted, 800 ms. A
	// deviation of one step, from a round that came late, must not count.
	recentSteps = 4

	// contradictionShare is the mean deviation over recentSteps, as a share of the demand of
	// all services, that contradicts a forecast.
	contradictionShare = 0.6

	// contradictionRatio is the deviation as a share of that of following that contradicts a
	// forecast. It is below 1 because both are wrong when a turn comes early.
	contradictionRatio = 0.5

	// distrustSteps is how long following is used after a contradiction, 3 s.
	distrustSteps = 15

	// minObserved is how many steps a Forecaster with a restored history has to observe before
	// it uses that. How long the history lay before it was restored is not known exactly.
	minObserved = minOverlap

	// reportSteps is the time constant in steps of the reported errors, one minute.
	reportSteps = 300
)

// Reasons of a change between forecast and following.
const (
	ReasonNoPeriod     = "no period"
	ReasonPeriod       = "period found"
	ReasonContradicted = "contradicted by the last seconds"
	ReasonError        = "no better than following"
)

// trust decides whether the forecast is used.
type trust struct {
	// lag is the period in use in steps, 0 while following is used.
	lag    int
	reason string

	// distrustUntil is the step until which following is used after a contradiction.
	distrustUntil int

	// used and following are the decaying sums of the deviations of what was predicted, by
	// forecast or by following, and of following. demand is that of the demand of all services.
	used      float64
	following float64
	demand    float64
}

// update decides anew after the last step.
func (t *trust) update(f *Forecaster) {
	row := f.row(f.last)
	t.account(f, row)
	if t.reason == "" {
		t.reason = ReasonNoPeriod
	}
	if t.lag > 0 {
		t.review(f)
		return
	}
	if f.last < t.distrustUntil || f.observed < minObserved {
		return
	}
	lag := f.scores.best(f.opts.Method)
	if ratio, known := f.scores.ratio(lag); !known || ratio > maxRatio || contradicted(f, lag) {
		return
	}
	t.lag = lag
	t.reason = ReasonPeriod
}

// review drops the period in use if it no longer fits, and replaces it if another one fits better.
func (t *trust) review(f *Forecaster) {
	ratio, known := f.scores.ratio(t.lag)
	switch {
	case contradicted(f, t.lag):
		t.drop(f, ReasonContradicted)
	case !known || ratio > dropRatio:
		t.drop(f, ReasonError)
	default:
		best := f.scores.best(f.opts.Method)
		if other, known := f.scores.ratio(best); known && other < shorterMargin*ratio && !contradicted(f, best) {
			t.lag = best
		}
	}
}

func (t *trust) drop(f *Forecaster, reason string) {
	t.lag = 0
	t.reason = reason
	t.distrustUntil = f.last + distrustSteps
}

// account adds the last step to the reported errors.
func (t *trust) account(f *Forecaster, row []float32) {
	following, known := distance(row, f.row(f.last-f.horizon))
	if !known {
		return
	}
	used := following
	if t.lag > 0 {
		if errors, known := distance(row, f.smoothedRow(f.last-t.lag)); known {
			used = errors
		}
	}
	decay := 1 - 1.0/reportSteps
	t.used = decay*t.used + used
	t.following = decay*t.following + following
	t.demand = decay*t.demand + total(row)
}

// contradicted reports whether the demand of the last steps contradicts a period. It does if it
// deviates by a large share of the demand, and not much less than following does.
func contradicted(f *Forecaster, lag int) bool {
	var errors, following, level float64
	for step := f.last - recentSteps + 1; step <= f.last; step++ {
		row := f.row(step)
		before := f.smoothedRow(step - lag)
		one, _ := distance(row, before)
		errors += one
		one, _ = distance(row, f.row(step-f.horizon))
		following += one
		level += max(total(row), total(before))
	}
	return errors > contradictionRatio*following && errors > contradictionShare*level
}

// total returns the demand of all services in a row.
func total(row []float32) float64 {
	sum := 0.0
	for _, value := range row {
		sum += max(0, float64(value))
	}
	return sum
}

// State is what a Forecaster reports.
type State struct {
	// Active says that there is a forecast. Otherwise following is used. Reason says why.
	Active bool
	Reason string

	// Period is the period in use, 0 if there is none.
	Period time.Duration

	// Error is the mean deviation of what was predicted, and Following that of following, over
	// about the last minute, as shares of the demand of all services.
	Error     float64
	Following float64
}

// State returns the current state.
func (f *Forecaster) State() State {
	state := State{
		Active: f.trust.lag > 0,
		Reason: f.trust.reason,
		Period: time.Duration(f.trust.lag) * Step,
	}
	if f.trust.demand > 0 {
		state.Error = f.trust.used / f.trust.demand
		state.Following = f.trust.following / f.trust.demand
	}
	return state
}
