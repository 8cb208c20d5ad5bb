package forecast_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/forecast"
	"lemonstream.dev/lemonstream/internal/demand"
)

const (
	horizon = 2 * time.Second
	length  = 90 * time.Second
	change  = 40 * time.Second

	// seeds is the number of series of each scenario, meanInstances the mean demand of a
	// service.
	seeds         = 3
	meanInstances = 6
)

// result is the error of a forecast over a series, after the first period and the horizon.
type result struct {
	forecast, following float64

	// first is when the first forecast was made, 0 if none was. active is the share of the
	// time with a forecast.
	first  time.Duration
	active float64
}

// replay observes a series and compares what is predicted for each step with what it shows.
func replay(method forecast.Method, scenario demand.Scenario, seed uint64, trace func(string)) result {
	series := demand.InFlight(demand.Jobs(scenario, length, meanInstances, seed), length, forecast.Step)
	f := forecast.New(forecast.Options{
		Horizon: horizon,
		Method:  method,
	})
	var r result
	begin := time.UnixMilli(1_000_000)
	ahead := int(horizon / forecast.Step)
	steps, active := 0, 0
	period := time.Duration(-1)
	for i, row := range series {
		at := time.Duration(i) * forecast.Step
		if at >= scenario.GapFrom && at < scenario.GapTo {
			continue
		}
		observed := make(map[string]float64)
		for service, value := range row {
			observed[fmt.Sprint(service)] = value
		}
		f.Observe(begin.Add(at), observed)
		state := f.State()
		if state.Period != period && trace != nil {
			trace(fmt.Sprintf("%v: period %v, %s", at, state.Period, state.Reason))
			period = state.Period
		}
		if state.Active && r.first == 0 {
			r.first = at
		}
		if i+ahead >= len(series) || at < 22*time.Second {
			continue
		}
		steps++
		if state.Active {
			active++
		}
		for service, value := range row {
			predicted := value
			if expected, found := f.Expected(fmt.Sprint(service), horizon); found {
				predicted = expected
			}
			r.forecast += math.Abs(predicted - series[i+ahead][service])
			r.following += math.Abs(value - series[i+ahead][service])
		}
	}
	r.active = float64(active) / float64(steps)
	return r
}

// TestCompareMethods measures both methods on all scenarios, as a share of the error of following.
func TestCompareMethods(t *testing.T) {
	is := is.New(t)
	for _, scenario := range demand.Scenarios(change) {
		for name, method := range map[string]forecast.Method{"filter bank": forecast.FilterBank, "autocorrelation": forecast.Autocorrelation} {
			var all result
			for seed := range uint64(seeds) {
				var trace func(string)
				if testing.Verbose() && seed == 0 {
					trace = func(line string) { t.Log("   ", line) }
				}
				r := replay(method, scenario, seed, trace)
				all.forecast += r.forecast
				all.following += r.following
				all.first = max(all.first, r.first)
				all.active += r.active / seeds
			}
			ratio := all.forecast / all.following
			t.Logf("%-34s %-16s error %.2f of following, active %.2f, first forecast at %v", scenario.Name, name, ratio, all.active, all.first)
			if method != forecast.FilterBank {
				continue
			}
			if scenario.HasTurns && scenario.GapTo == 0 {
				is.True(ratio < 0.25)                       // Under a quarter of the error of following.
				is.True(all.first < 22500*time.Millisecond) // Usable in the second turn of the first service.
			}
			is.True(ratio < 1.02) // No worse than following elsewhere.
		}
	}
}
