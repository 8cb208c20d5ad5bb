package owner_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/shard"
)

// controllerBeat reads the heartbeat of the instance controller; it is empty if there is none.
func controllerBeat(t *testing.T, rows *standin.Rows) owner.Beat {
	t.Helper()
	page, err := rows.Table().Get(context.Background(), "beat", "/instances", "", 0)
	if err != nil {
		t.Fatal(err)
	}
	var beat owner.Beat
	if len(page.Rows) > 0 {
		if err := cbor.Unmarshal(page.Rows[0].Value, &beat); err != nil {
			t.Fatal(err)
		}
	}
	return beat
}

// varyingDeps changes the dependencies of an entry so that it may become the instance controller of
// a service whose demand changes with each round, and forecasts it.
func varyingDeps(f *idleFleet) func(owner.Deps, string) owner.Deps {
	var round atomic.Int64
	return func(deps owner.Deps, name string) owner.Deps {
		deps = f.deps(deps, name)
		deps.ForecastDemand = true
		deps.RequestLoad = func(ctx context.Context, service string, told owner.Directive) (shard.Load, error) {
			load, err := f.loads(ctx, service, told)
			load.Used.MilliCPU = int(round.Add(1)%4) * 1000
			return load, err
		}
		return deps
	}
}

// TestHeartbeatCarriesDemandHistory guards against a successor that has to learn the turns anew.
func TestHeartbeatCarriesDemandHistory(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	f := &idleFleet{
		moved: make(map[string]map[string]bool),
	}
	newEntryWith(t, "a", rows.Table(), alive("a"), varyingDeps(f))
	var row owner.HistoryRow
	until(t, "the heartbeat has a history of several steps", func() bool {
		history := controllerBeat(t, rows).History
		if len(history) == 0 || cbor.Unmarshal(history, &row) != nil {
			return false
		}
		return len(row.Series) == 1 && len(row.Series[0].Values) > 4
	})
	is.Equal(row.Series[0].Service, awake)
	is.Equal(row.StepMillis, int64(200))
}

// TestBadDemandHistoryBlocksNoClaim guards against a row of another version that keeps every entry
// from controlling the instances, and against a log line in each round.
func TestBadDemandHistoryBlocksNoClaim(t *testing.T) {
	is := is.New(t)
	for _, bad := range []any{"text", 7, map[int]any{1: -5, 2: "x"}, make([]byte, 3000)} {
		value, err := cbor.Marshal(bad)
		is.NoErr(err)
		rows := standin.NewRows()
		beat, err := cbor.Marshal(owner.Beat{
			History: value,
		})
		is.NoErr(err)
		rows.Write(outside.Key{
			Table: "beat",
			Part:  "/instances",
			Name:  "beat",
		}, beat)
		f := &idleFleet{
			moved: make(map[string]map[string]bool),
		}
		e := newEntryWith(t, "a", rows.Table(), alive("a"), varyingDeps(f))
		until(t, "the controller sends orders", func() bool { return f.count("a") >= 2 })
		is.Equal(e.lines.of("demand history left out"), 1)
		until(t, "the heartbeat has a history of its own", func() bool {
			var row owner.HistoryRow
			return cbor.Unmarshal(controllerBeat(t, rows).History, &row) == nil && len(row.Series) == 1
		})
	}
}
