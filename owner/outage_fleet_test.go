package owner_test

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

// naming returns a table whose heartbeat rows of the instances name a witness that does not exist.
func naming(t *testing.T, table outside.Table) outside.Table {
	t.Helper()
	write := table.Transact
	table.Transact = func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
		if put := &tx.Puts[0]; put.Key.Table == "beat" && put.Key.Part == "/instances" {
			beat := beatIn(t, put.Value)
			beat.Witnesses = []string{"x"}
			value, err := cbor.Marshal(beat)
			if err != nil {
				t.Error(err)
			}
			put.Value = value
		}
		return write(ctx, tx)
	}
	return table
}

// TestOutsiderOrdersNoInstancesEarly lets a controller that may be alive be followed by an entry that is
// none of its witnesses. It does not know which instances were ordered without a write, so it must
// order none until the first controller can't act any more and the platform's pause has passed; nor
// must its own successor.
func TestOutsiderOrdersNoInstancesEarly(t *testing.T) {
	for name, c := range map[string]struct {
		dies    bool
		reading time.Duration
	}{
		"claimer":       {},
		"its successor": {dies: true},
		// The wait was too short by the time that the claim's read of the heartbeat took.
		"claimer with slow reads": {reading: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rows := standin.NewRows()
				f := &idleFleet{
					moved: make(map[string]map[string]bool),
				}
				var away atomic.Bool
				const pause = 3 * time.Second
				change := func(deps owner.Deps, name string) owner.Deps {
					deps = f.deps(deps, name)
					deps.Site.HolderPause = pause
					return deps
				}
				newEntryWith(t, "a", naming(t, rejecting(rows, &away)), alive("a"), change)
				until(t, "the first controller sends orders", func() bool { return f.count("a") >= 2 })
				first := controllerEpoch(t, rows)
				second := newEntryWith(t, "b", slowClaim(rows.Table(), &away, c.reading), func(context.Context, netip.AddrPort, string) (owner.Pong, error) {
					return owner.Pong{}, &outside.UncertainError{
						Call: "ping",
					}
				}, change)
				away.Store(true)
				lost := time.Now()
				until(t, "the second controller has claimed", func() bool { return controllerEpoch(t, rows) > first })
				next := "b"
				if c.dies {
					second.group.Stop()
					next = "c"
					newEntryWith(t, "c", rows.Table(), func(context.Context, netip.AddrPort, string) (owner.Pong, error) {
						return owner.Pong{}, &outside.NotDoneError{
							Call: "ping",
						}
					}, change)
				}
				until(t, "the next controller sends orders", func() bool { return f.count(next) > 0 })
				// The last write of the first controller is at most 0.5 s older than the outage.
				is.True(time.Since(lost) >= 7500*time.Millisecond+pause)
			})
		})
	}
}

// slowClaim returns the table with reads of single rows that take the given time from 1.2 s after the
// first read in the outage: the heartbeat has been seen unchanged by then, and only the claim reads it.
func slowClaim(table outside.Table, away *atomic.Bool, takes time.Duration) outside.Table {
	row := table.Row
	var first sync.Once
	var began atomic.Int64
	table.Row = func(ctx context.Context, key outside.Key) (*outside.Row, error) {
		if away.Load() {
			first.Do(func() { began.Store(time.Now().UnixMilli()) })
		}
		if at := began.Load(); at != 0 && time.Since(time.UnixMilli(at)) > 1200*time.Millisecond {
			time.Sleep(takes)
		}
		return row(ctx, key)
	}
	return table
}
