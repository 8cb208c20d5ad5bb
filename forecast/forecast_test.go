package forecast_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/forecast"
	"lemonstream.dev/lemonstream/internal/demand"
	"lemonstream.dev/lemonstream/internal/prove"
)

var begin = time.UnixMilli(1_000_000)

// observe feeds the demand of a scenario between two times into a Forecaster.
func observe(f *forecast.Forecaster, scenario demand.Scenario, from, to time.Duration) {
	series := demand.InFlight(demand.Jobs(scenario, to, meanInstances, 1), to, forecast.Step)
	for i, row := range series {
		at := time.Duration(i) * forecast.Step
		if at < from {
			continue
		}
		observed := make(map[string]float64)
		for service, value := range row {
			observed[fmt.Sprint(service)] = value
		}
		f.Observe(begin.Add(at), observed)
	}
}

func newForecaster() *forecast.Forecaster {
	return forecast.New(forecast.Options{
		Horizon: horizon,
	})
}

// TestContradictedForecastIsDroppedAtOnce guards against a forecast that holds instances for turns
// that no longer come.
func TestContradictedForecastIsDroppedAtOnce(t *testing.T) {
	is := is.New(t)
	// differs is when each scenario first differs from the turns before.
	differs := map[string]time.Duration{
		"turns stop":  40 * time.Second,
		"other order": 40_500 * time.Millisecond,
		"phase jumps": 42_300 * time.Millisecond,
	}
	for _, scenario := range demand.Scenarios(change) {
		at, found := differs[scenario.Name]
		if !found {
			continue
		}
		f := newForecaster()
		observe(f, scenario, 0, change)
		is.True(f.State().Active)
		observe(f, scenario, change, at+1400*time.Millisecond)
		is.True(!f.State().Active)
		is.Equal(f.State().Reason, forecast.ReasonContradicted)
	}
}

// TestForecastNeedsNoExactRounds guards against a history that loses its phase because a round
// takes longer than a step.
func TestForecastNeedsNoExactRounds(t *testing.T) {
	is := is.New(t)
	f := newForecaster()
	series := demand.InFlight(demand.Jobs(demand.Scenarios(change)[0], length, meanInstances, 1), length, 10*time.Millisecond)
	for at := time.Duration(0); at < change; at += 270 * time.Millisecond {
		row := series[at/(10*time.Millisecond)]
		observed := make(map[string]float64)
		for service, value := range row {
			observed[fmt.Sprint(service)] = value
		}
		f.Observe(begin.Add(at), observed)
	}
	is.True(f.State().Active)
	is.True((f.State().Period - 18*time.Second).Abs() <= 2*forecast.Step)
}

// TestForecastIsBoundedForAnyInput guards against predictions beyond what was ever observed, for
// services that come and go, observations that are missing or out of order, and values that are
// none.
func TestForecastIsBoundedForAnyInput(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		f := newForecaster()
		now := begin
		most := 0.0
		period := rapid.IntRange(20, 60).Draw(t, "period")
		for i := range rapid.IntRange(1, 200).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(-200, 700).Draw(t, "ms")) * time.Millisecond)
			observed := make(map[string]float64)
			for _, service := range []string{"a", "b"} {
				value := rapid.SampledFrom([]float64{0, 1, 40, -1, math.NaN()}).Draw(t, "value")
				if i%period < period/2 {
					value = 20
				}
				if !math.IsNaN(value) {
					most = max(most, value)
				}
				if rapid.IntRange(0, 9).Draw(t, "missing") > 0 {
					observed[service] = value
				}
			}
			f.Observe(now, observed)
			for _, service := range []string{"a", "b", "never"} {
				expected, found := f.Expected(service, horizon)
				if found && (expected < 0 || expected > most || math.IsNaN(expected)) {
					t.Fatalf("%s: expected %v of at most %v", service, expected, most)
				}
			}
		}
	})
}

// BenchmarkObserve measures one round with 52 services.
func BenchmarkObserve(b *testing.B) {
	f := newForecaster()
	now := begin
	round := 0
	for b.Loop() {
		round++
		now = now.Add(forecast.Step)
		observed := make(map[string]float64, 52)
		for service := range 52 {
			observed[fmt.Sprint(service)] = float64((round/22 + service) % 4 * 20)
		}
		f.Observe(now, observed)
	}
}
