package pool

import (
	"math"
	"sort"
	"time"

	"lemonstream.dev/lemonstream/forecast"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// maxForecastShare is the share of the available instances that the targets of all services
	// together may differ by from those of following demand. It bounds what a wrong forecast
	// can move.
	maxForecastShare = 0.25

	// maxWaitingShare is the share of the running work that may wait without being a backlog.
	maxWaitingShare = 0.2

	// arrivalSpan is the time over which the change of the demand is measured while there is a
	// backlog.
	arrivalSpan = 600 * time.Millisecond

	// backlogTail is how long a backlog matters after its end, about the time of the runs that
	// were started from it.
	backlogTail = time.Second

	// minRunTime and maxRunTime bound the run time that is assumed for the work of a backlog.
	minRunTime = 200 * time.Millisecond
	maxRunTime = 2 * time.Second

	// maxExcessShare is the share by which the demand of a service may exceed the expected one,
	// beside minInstances, for the forecast to limit its target. Demand varies by some 10% with
	// the arrival of single jobs.
	maxExcessShare = 0.3
)

// Reasons of moves.
const (
	ReasonDemand   = "demand"
	ReasonForecast = "forecast"
	ReasonSurplus  = "surplus"
)

// ForecastState is what is known of the demand of all services together.
type ForecastState struct {
	forecast.State

	// Expected is the demand of all services that was expected for now, and Observed the
	// demand there is, in instances. Both are those of the services with a forecast.
	Expected float64
	Observed float64
}

// demandForecast is the forecast of the demand and its effect on the current plan.
type demandForecast struct {
	forecaster *forecast.Forecaster
	state      ForecastState

	// backlogAt holds when each service last had a backlog.
	backlogAt map[string]time.Time
}

// newDemandForecast returns the forecast of a Sizer; nil if it is switched off.
func newDemandForecast(opts Options) *demandForecast {
	if !opts.Forecast {
		return nil
	}
	return &demandForecast{
		forecaster: forecast.New(forecast.Options{
			Horizon: opts.MoveTime + readyTime,
		}),
		backlogAt: make(map[string]time.Time),
	}
}

// Forecast returns the state of the forecast, and false if it is switched off.
func (s *Sizer) Forecast() (ForecastState, bool) {
	if s.forecast == nil {
		return ForecastState{}, false
	}
	return s.forecast.state, true
}

// applyForecast records the demand and changes the targets to the demand that is expected by the
// time at which an instance that is ordered now is ready. It raises no need: a forecast takes no
// instance that another service needs now.
func (r *round) applyForecast() {
	f := r.sizer.forecast
	if f == nil {
		return
	}
	observed := make(map[string]float64)
	for name, service := range r.services {
		if list := r.sizer.demand[name]; service.Known && !service.Asleep && len(list) > 0 {
			observed[name] = f.arrivingDemand(service, r.meanCapacity(name), list)
		}
	}
	f.record(r.view.Now, observed)
	if !f.state.Active {
		return
	}
	if r.isShort() {
		return
	}
	ahead := r.sizer.opts.MoveTime + readyTime
	for name, value := range observed {
		r.limitRise(name, value, ahead)
	}
	budget := max(minInstances, int(maxForecastShare*float64(r.available)))
	rises := r.expectedRises(observed, ahead)
	for _, rise := range rises {
		extra := min(rise.instances, budget)
		budget -= extra
		r.setForecastTarget(rise.service, r.plan.Targets[rise.service]+extra)
	}
	if len(rises) > 0 {
		r.releaseEnding(observed, ahead, budget)
	}
}

// isShort reports whether the current demand of the services exceeds the available instances. The
// forecast then has no effect: which service gets how many is decided by what can still end in
// time.
func (r *round) isShort() bool {
	sum := 0.0
	for name := range r.needs {
		if list := r.sizer.demand[name]; len(list) > 0 {
			sum += list[len(list)-1].timely
		}
	}
	return sum > float64(r.available)
}

// limitRise limits the target and the need of a service to the demand that the forecast expects
// until an instance that is ordered now is ready, in place of the demand to which its rise leads
// if it goes on. At the begin of a turn the demand rises by the whole turn within some rounds,
// which leads to several times of it. Nothing is limited if there is more demand than expected.
func (r *round) limitRise(name string, observed float64, ahead time.Duration) {
	level := 0.0
	for passed := time.Duration(0); passed <= ahead; passed += forecast.Step {
		expected, found := r.sizer.forecast.forecaster.Expected(name, passed)
		if !found {
			return
		}
		level = max(level, expected)
	}
	if observed > level*(1+maxExcessShare)+minInstances {
		return
	}
	high, timely := 0.0, 0.0
	for _, one := range r.sizer.demand[name] {
		high = max(high, one.instances)
		timely = one.timely
	}
	need := int(math.Ceil(max(timely, level) * (1 + needMarginShare)))
	r.needs[name] = max(r.floor(name), min(r.needs[name], need))
	target := int(math.Ceil(max(high, level) * (1 + headroomShare)))
	r.plan.Targets[name] = max(r.floor(name), min(r.plan.Targets[name], target))
}

// arrivingDemand returns the demand of a service without its backlog: how many instances would be
// in use if every task had started at once. Waiting work counts in the demand for as long as it
// waits, so that a turn that comes unforeseen shows as several times of what it asks for. During
// and shortly after a backlog, the arrivals follow from the change of the demand and the runs that
// end.
func (f *demandForecast) arrivingDemand(service *Service, each job.Room, list []sample) float64 {
	last := list[len(list)-1]
	used := service.Load.Used.Share(each)
	if last.instances-used > maxWaitingShare*used+1 {
		f.backlogAt[service.Name] = last.at
	}
	if at, found := f.backlogAt[service.Name]; !found || last.at.Sub(at) > backlogTail {
		return last.instances
	}
	first := last
	for _, one := range list {
		if last.at.Sub(one.at) <= arrivalSpan {
			first = one
			break
		}
	}
	span := last.at.Sub(first.at)
	if span <= 0 {
		return last.timely
	}
	runTime := expectedRun(service.Load)
	arriving := used + (last.instances-first.instances)*float64(runTime)/float64(span)
	return min(last.instances, max(0, arriving))
}

// expectedRun returns the time that runs are expected to take: the mean over the busy workers of
// the longest remaining time on each.
func expectedRun(load shard.Load) time.Duration {
	sum, count := time.Duration(0), time.Duration(0)
	for _, worker := range load.Workers {
		if worker.Busy > 0 {
			sum += worker.Busy
			count++
		}
	}
	if count == 0 {
		return minRunTime
	}
	return min(maxRunTime, max(minRunTime, sum/count))
}

// record records the demand and updates the state.
func (f *demandForecast) record(now time.Time, observed map[string]float64) {
	f.forecaster.Observe(now, observed)
	f.state = ForecastState{
		State: f.forecaster.State(),
	}
	for name, value := range observed {
		if expected, found := f.forecaster.Expected(name, 0); found {
			f.state.Expected += expected
			f.state.Observed += value
		}
	}
}

// forecastRise is by how many instances the expected demand of a service exceeds its target.
type forecastRise struct {
	service   string
	instances int
}

// expectedRises returns the services whose expected demand exceeds their target, the largest
// excess first.
func (r *round) expectedRises(observed map[string]float64, ahead time.Duration) []forecastRise {
	var rises []forecastRise
	for name := range observed {
		expected, found := r.sizer.forecast.forecaster.Expected(name, ahead)
		extra := int(math.Ceil(expected*(1+headroomShare))) - r.plan.Targets[name]
		if found && extra > 0 {
			rises = append(rises, forecastRise{
				service:   name,
				instances: extra,
			})
		}
	}
	sort.Slice(rises, func(i, j int) bool {
		a, b := rises[i], rises[j]
		if a.instances != b.instances {
			return a.instances > b.instances
		}
		return a.service < b.service
	})
	return rises
}

// releaseEnding lowers the targets of services to the demand that they have and that is expected of
// them, by budget instances at most. Their peak is not kept, nor is room for work that is late,
// because the instances are needed elsewhere.
func (r *round) releaseEnding(observed map[string]float64, ahead time.Duration, budget int) {
	names := make([]string, 0, len(observed))
	for name := range observed {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		expected, found := r.sizer.forecast.forecaster.Expected(name, ahead)
		now, known := r.sizer.forecast.forecaster.Expected(name, forecast.Step)
		if !found || !known {
			continue
		}
		current := int(math.Ceil(max(expected, now, observed[name]) * (1 + headroomShare)))
		kept := max(current, r.needs[name], r.floor(name))
		release := min(budget, r.plan.Targets[name]-kept)
		if release > 0 {
			budget -= release
			r.setForecastTarget(name, r.plan.Targets[name]-release)
		}
	}
}

// setForecastTarget changes the target of a service by the forecast.
func (r *round) setForecastTarget(name string, target int) {
	if r.following == nil {
		r.following = make(map[string]int)
	}
	r.following[name] = r.plan.Targets[name]
	r.plan.Targets[name] = target
}

// moveReason returns why an instance is moved. The counts of both pools include the move.
func (r *round) moveReason(from, to string) string {
	target, changed := r.following[to]
	if changed && r.count[to] > target {
		return ReasonForecast
	}
	target, changed = r.following[from]
	switch {
	case changed && r.count[from] < target:
		return ReasonForecast
	case to == r.sleepingPool:
		return ReasonSurplus
	default:
		return ReasonDemand
	}
}

// History returns the recent demand for a successor, in at most limit bytes once it is encoded. It
// has no series if the forecast is switched off.
func (s *Sizer) History(limit int) forecast.History {
	if s.forecast == nil {
		return forecast.History{}
	}
	return s.forecast.forecaster.History(limit)
}

// RestoreHistory takes over the demand that a predecessor observed until about a time. It reports
// whether that could be used.
func (s *Sizer) RestoreHistory(history forecast.History, at time.Time) bool {
	return s.forecast == nil || s.forecast.forecaster.Restore(history, at)
}
