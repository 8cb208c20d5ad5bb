package owner_test

import (
	"context"
	"net/netip"
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
	for name, dies := range map[string]bool{
		"claimer":       false,
		"its successor": true,
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
				second := newEntryWith(t, "b", rows.Table(), func(context.Context, netip.AddrPort, string) (owner.Pong, error) {
					return owner.Pong{}, &outside.UncertainError{
						Call: "ping",
					}
				}, change)
				away.Store(true)
				lost := time.Now()
				until(t, "the second controller has claimed", func() bool { return controllerEpoch(t, rows) > first })
				next := "b"
				if dies {
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
