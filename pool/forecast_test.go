package pool_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/demand"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/pool"
)

// forecastSeeds names the environment variable that sets how many series of each scenario
// TestForecastAgainstFollowing plays.
const forecastSeeds = "FORECAST_SEEDS"

// TestForecastAgainstFollowing plays the scenarios with and without the forecast. It guards against
// a forecast that costs value where the demand does not come in the turns that it expects.
func TestForecastAgainstFollowing(t *testing.T) {
	is := is.New(t)
	seeds, err := strconv.Atoi(os.Getenv(forecastSeeds))
	if err != nil {
		seeds = 1
	}
	sizes := []int{120, 80, 60}
	if seeds == 1 {
		sizes = sizes[:1]
	}
	for _, instances := range sizes {
		for _, scenario := range demand.Scenarios(simulatedChange) {
			if seeds == 1 && scenario.Name != "turns" && scenario.Name != "other order" && scenario.Name != "gap of 5 s" {
				continue // The figures in docs/design/forecast.md are of all scenarios.
			}
			following := meanOutcome(instances, false, scenario, seeds)
			forecast := meanOutcome(instances, true, scenario, seeds)
			t.Logf("%d instances, %s\n\tfollowing %v\n\tforecast  %v", instances, scenario.Name, following, forecast)
			is.True(forecast.value > following.value-0.02)
			if scenario.HasTurns && instances == 120 {
				is.True(forecast.unmet < 0.75*following.unmet)
				is.True(forecast.awake < 0.95*following.awake)
				is.True(forecast.moves < following.moves)
			}
		}
	}
}

// meanOutcome returns the mean outcome of a scenario over some seeds.
func meanOutcome(instances int, withForecast bool, scenario demand.Scenario, seeds int) outcome {
	sum := outcome{
		byReason: make(map[string]int),
	}
	for seed := range uint64(seeds) {
		one := newSimulation(instances, withForecast, scenario, seed).run()
		sum.moves += one.moves / seeds
		sum.awake += one.awake / float64(seeds)
		sum.unmet += one.unmet / float64(seeds)
		sum.value += one.value / float64(seeds)
		sum.wait95 += one.wait95 / time.Duration(seeds)
		for reason, count := range one.byReason {
			sum.byReason[reason] += count / seeds
		}
	}
	return sum
}

func (o outcome) String() string {
	return fmt.Sprintf("moves %4d, awake %5.0f, unmet %5.0f, value %.3f, wait95 %v, %v", o.moves, o.awake, o.unmet, o.value, o.wait95, o.byReason)
}

// maxForecast is the number of instances by which a forecast may change the targets of a fleet.
func maxForecast(instances int) int { return instances / 4 }

// TestWrongForecastWakesFewInstances guards against a forecast of turns that no longer come and
// wakes more instances than its bound.
func TestWrongForecastWakesFewInstances(t *testing.T) {
	is := is.New(t)
	const instances = 120
	for _, scenario := range demand.Scenarios(simulatedChange) {
		if scenario.Name != "turns stop" {
			continue
		}
		awake := func(withForecast bool) []int {
			var counts []int
			s := newSimulation(instances, withForecast, scenario, 1)
			s.afterPlan = func(_ pool.View, plan pool.Plan) {
				sum := 0
				for service := range demand.Services {
					sum += plan.Counts[serviceName(service)]
				}
				// What the turns before the change woke is asleep again by then.
				if s.now > simulatedChange+2*time.Second {
					counts = append(counts, sum)
				}
			}
			s.run()
			return counts
		}
		following, forecast := awake(false), awake(true)
		for i := range following {
			is.True(forecast[i] <= following[i]+maxForecast(instances))
		}
	}
}

// turnsFleet returns a fleet with a forecast that has observed two periods of turns of a and b, and
// is due 2 s before a turn of a. A turn needs the given number of instances.
func turnsFleet(instances, turn int) *fleet {
	f := newFleet(map[string]int{
		"a":    3,
		"b":    3,
		asleep: instances - 6,
	})
	opts := sizerOptions(moveTime)
	opts.Forecast = true
	f.sizer = pool.NewSizer(opts)
	for i := range 175 {
		phase := i % 80 // A period of 16 s: a has 4 s, then b has 4 s, then neither.
		f.service("a").Load.Used, f.service("b").Load.Used = job.Room{}, job.Room{}
		switch {
		case phase >= 20 && phase < 40:
			f.service("a").Load.Used = cpu(turn * 16)
		case phase >= 40 && phase < 60:
			f.service("b").Load.Used = cpu(turn * 16)
		}
		f.plan()
	}
	return f
}

// TestForecastMeetsTurn guards against instances that are ordered only once a turn has begun.
func TestForecastMeetsTurn(t *testing.T) {
	is := is.New(t)
	plan := turnsFleet(120, 20).plan()
	is.Equal(plan.Targets["a"], 22)
	is.Equal(plan.Targets["b"], 3)
	is.Equal(plan.Moves[0].Reason, pool.ReasonForecast)
}

// TestForecastIsLimited guards against a forecast that wakes the whole fleet.
func TestForecastIsLimited(t *testing.T) {
	is := is.New(t)
	is.Equal(turnsFleet(120, 60).plan().Targets["a"], minInstances+maxForecast(120))
}

// TestForecastTakesNoNeededInstance guards against a forecast that takes instances from a service
// that needs them now. Both services together need more than there is.
func TestForecastTakesNoNeededInstance(t *testing.T) {
	is := is.New(t)
	f := turnsFleet(120, 20)
	f.service("b").Load.Used = cpu(114 * 16)
	for range 3 {
		f.plan()
	}
	is.True(f.plan().Targets["b"] >= 114)
}

// TestForecastKeepsFloors guards against a forecast that takes the last instances of a service for
// whose tasks each needs a worker of its own.
func TestForecastKeepsFloors(t *testing.T) {
	is := is.New(t)
	f := turnsFleet(120, 60)
	f.service("b").Load.Spread = 9
	is.True(f.plan().Targets["b"] >= 10)
}

// TestNoForecastWithoutFlag guards against a forecast that is in effect where it is switched off.
func TestNoForecastWithoutFlag(t *testing.T) {
	is := is.New(t)
	_, on := newFleet(nil).sizer.Forecast()
	is.True(!on)
}

// TestForecastMovesNothingOutOfEvacuatedZone guards against a forecast that wakes instances on which
// nothing may start.
func TestForecastMovesNothingOutOfEvacuatedZone(t *testing.T) {
	is := is.New(t)
	f := turnsFleet(120, 20)
	f.view.Evacuated = func(string) bool { return true }
	is.Equal(len(f.plan().Moves), 0)
}

// TestForecastHoldsUpNoWave guards against a forecast that wakes the instances that a wave is about
// to maintain, so that the wave has to wait for them.
func TestForecastHoldsUpNoWave(t *testing.T) {
	is := is.New(t)
	f := turnsFleet(120, 20)
	wave := &pool.Wave{
		Wave: outside.Wave{
			Number: 1,
			AtOnce: 10,
			Within: time.Minute,
		},
		Seen: f.view.Now,
		Done: make(map[string]bool),
	}
	for i := range 10 {
		wave.Instances = append(wave.Instances, fmt.Sprintf("%s%02d", asleep, i))
	}
	f.view.Waves = []*pool.Wave{wave}
	plan := f.plan()
	is.Equal(len(plan.Maintenances), 10)
	is.Equal(plan.Targets["a"], 22)
}
