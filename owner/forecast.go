package owner

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lemonstream.dev/lemonstream/forecast"
	"lemonstream.dev/lemonstream/pool"
)

const (
	// maxHistoryBytes is the maximum size of the demand history in the heartbeat, and
	// maxHistoryShare its maximum share of a row. The rest holds the orders.
	maxHistoryBytes = 2048
	maxHistoryShare = 0.125

	// historyInterval is the time between two encodings of the history. A heartbeat written in
	// between repeats the last one.
	historyInterval = time.Second
)

// HistoryRow is the demand history in the heartbeat of the instance controller.
type HistoryRow struct {
	// StepMillis is the time between two values, in milliseconds.
	StepMillis int64       `cbor:"1,keyasint"`
	Series     []SeriesRow `cbor:"2,keyasint"`
}

// SeriesRow is the demand of one service; see forecast.Series.
type SeriesRow struct {
	Service string  `cbor:"1,keyasint"`
	Peak    float64 `cbor:"2,keyasint"`
	Values  []byte  `cbor:"3,keyasint"`
}

// ForecastFigures holds what the instance controller of this entry reports of its forecast. Every
// value is 0 while this entry is not the controller.
type ForecastFigures struct {
	active, expected, observed, deviation, following atomic.Uint64
}

// Active returns 1 while the forecast is used, else 0.
func (f *ForecastFigures) Active() float64 { return math.Float64frombits(f.active.Load()) }

// Expected returns the demand of all services that was forecast for now, in instances.
func (f *ForecastFigures) Expected() float64 { return math.Float64frombits(f.expected.Load()) }

// Observed returns the demand that there is, in instances, of the services with a forecast.
func (f *ForecastFigures) Observed() float64 { return math.Float64frombits(f.observed.Load()) }

// Error returns the mean error of the last minute as a share of the demand.
func (f *ForecastFigures) Error() float64 { return math.Float64frombits(f.deviation.Load()) }

// FollowingError returns what Error would be without forecasts.
func (f *ForecastFigures) FollowingError() float64 { return math.Float64frombits(f.following.Load()) }

func (f *ForecastFigures) set(state pool.ForecastState) {
	active := 0.0
	if state.Active {
		active = 1
	}
	f.active.Store(math.Float64bits(active))
	f.expected.Store(math.Float64bits(state.Expected))
	f.observed.Store(math.Float64bits(state.Observed))
	f.deviation.Store(math.Float64bits(state.Error))
	f.following.Store(math.Float64bits(state.Following))
}

// reportForecast publishes the state of the forecast and logs each change between forecast and
// following.
func (f *instanceController) reportForecast() {
	state, on := f.sizer.Forecast()
	if !on {
		return
	}
	if f.deps.Forecast != nil {
		f.deps.Forecast.set(state)
	}
	if state.Active == f.forecastActive {
		return
	}
	f.forecastActive = state.Active
	event := "demand is followed"
	if state.Active {
		event = "demand is forecast"
	}
	f.deps.Log.Info(event, "reason", state.Reason, "period_ms", state.Period.Milliseconds(),
		"error", state.Error, "following_error", state.Following)
}

// endForecast resets the reported figures when this entry stops being the controller.
func (f *instanceController) endForecast() {
	if f.deps.Forecast != nil {
		f.deps.Forecast.set(pool.ForecastState{})
	}
}

// historyRow returns the demand history for the heartbeat, nil if there is none.
func (f *instanceController) historyRow(now time.Time) cbor.RawMessage {
	if now.Sub(f.historyAt) < historyInterval {
		return f.history
	}
	limit := maxHistoryBytes
	if f.deps.Site.RowBytes > 0 {
		limit = min(limit, int(maxHistoryShare*float64(f.deps.Site.RowBytes)))
	}
	history := f.sizer.History(limit)
	if len(history.Series) == 0 {
		return f.history
	}
	row := HistoryRow{
		StepMillis: history.Step.Milliseconds(),
	}
	for _, series := range history.Series {
		row.Series = append(row.Series, SeriesRow(series))
	}
	f.history = encodeRow(row)
	f.historyAt = now
	return f.history
}

// restoreHistory takes over the history of the previous controller. One that can't be used counts
// as none.
func (f *instanceController) restoreHistory(value cbor.RawMessage, at time.Time) {
	if len(value) == 0 {
		return
	}
	history, err := decodeHistory(value)
	if err != nil {
		f.deps.Log.Error("demand history left out", "epoch", f.tenure.epoch, "error", err.Error())
		return
	}
	if !f.sizer.RestoreHistory(history, at) {
		f.deps.Log.Error("demand history left out", "epoch", f.tenure.epoch, "error", "values out of range")
		return
	}
	// Written on until there is a history of this controller.
	f.history = value
	f.historyAt = at
}

func decodeHistory(value cbor.RawMessage) (forecast.History, error) {
	var row HistoryRow
	if len(value) > maxHistoryBytes {
		return forecast.History{}, fmt.Errorf("demand history of %d bytes, at most %d", len(value), maxHistoryBytes)
	}
	if err := cbor.Unmarshal(value, &row); err != nil {
		return forecast.History{}, fmt.Errorf("demand history: %w", err)
	}
	history := forecast.History{
		Step: time.Duration(row.StepMillis) * time.Millisecond,
	}
	for _, series := range row.Series {
		history.Series = append(history.Series, forecast.Series(series))
	}
	return history, nil
}
