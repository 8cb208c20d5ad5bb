package forecast_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/forecast"
	"lemonstream.dev/lemonstream/internal/demand"
	"lemonstream.dev/lemonstream/internal/prove"
)

// TestRestoredHistoryIsUsedWithinTurn guards against a successor that has to observe a whole period
// again, and against one that relies on a phase that is off by the unknown age of the history.
func TestRestoredHistoryIsUsedWithinTurn(t *testing.T) {
	is := is.New(t)
	turns := demand.Scenarios(change)[0]
	for _, late := range []time.Duration{0, time.Second, 2 * time.Second} {
		before := newForecaster()
		observe(before, turns, 0, 50*time.Second)
		f := newForecaster()
		is.True(f.Restore(before.History(2048), begin.Add(50*time.Second+late)))
		observe(f, turns, 52*time.Second, 53*time.Second)
		is.True(!f.State().Active) // Nothing is forecast before own observations agree.
		observe(f, turns, 53*time.Second, 60*time.Second)
		is.True(f.State().Active)
		// Service 2 has its turn from 63 to 67.5 s.
		observe(f, turns, 60*time.Second, 64*time.Second)
		now, found := f.Expected("2", 0)
		is.True(found)
		is.True(now > 3*meanInstances)
		other, _ := f.Expected("0", 0)
		is.True(other < meanInstances)
	}
}

// TestHistoryFitsLimit guards against a heartbeat that grows with the number of services, and
// against values that a successor can't restore.
func TestHistoryFitsLimit(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		services := rapid.IntRange(0, 60).Draw(t, "services")
		limit := rapid.IntRange(0, 2048).Draw(t, "limit")
		f := newForecaster()
		for round := range rapid.IntRange(0, 300).Draw(t, "rounds") {
			observed := make(map[string]float64)
			for service := range services {
				observed[fmt.Sprintf("service-%02d", service)] = float64((round/22+service)%4) * 1e3
			}
			f.Observe(begin.Add(time.Duration(round)*forecast.Step), observed)
		}
		history := f.History(limit)
		body, err := cbor.Marshal(history)
		if err != nil {
			t.Fatal(err)
		}
		// The names of the fields are in this encoding, unlike in that of the heartbeat.
		names := len("Step") + len("Series") + len(history.Series)*len("ServicePeakValues")
		if len(history.Series) > 0 && len(body)-names > limit {
			t.Fatalf("%d bytes, at most %d", len(body)-names, limit)
		}
		if len(history.Series) > 0 && !newForecaster().Restore(history, begin) {
			t.Fatal("own history is not restored")
		}
	})
}

// TestBadHistoryIsRefused guards against a row of another version that leads to a forecast.
func TestBadHistoryIsRefused(t *testing.T) {
	is := is.New(t)
	series := func(peak float64, count int) []forecast.Series {
		return []forecast.Series{{
			Service: "a",
			Peak:    peak,
			Values:  make([]byte, count),
		}}
	}
	for _, history := range []forecast.History{
		{},
		{Step: forecast.Step},
		{Step: 0, Series: series(1, 10)},
		{Step: 300 * time.Millisecond, Series: series(1, 10)},
		{Step: time.Hour, Series: series(1, 10)},
		{Step: forecast.Step, Series: series(1, 10_000)},
		{Step: forecast.Step, Series: series(math.NaN(), 10)},
		{Step: forecast.Step, Series: series(math.Inf(1), 10)},
		{Step: forecast.Step, Series: series(-1, 10)},
		// Infinite once stored as float32, which switched the forecast off for good.
		{Step: forecast.Step, Series: series(1e300, 10)},
		{Step: forecast.Step, Series: series(2e6, 10)},
	} {
		is.True(!newForecaster().Restore(history, begin))
	}
}
