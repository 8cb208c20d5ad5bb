package owner_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

// controllerEpoch returns the epoch of the instance controller.
func controllerEpoch(t *testing.T, rows *standin.Rows) int64 {
	t.Helper()
	return epochOf(t, rows, "/instances")
}

// epochOf returns the epoch of the owner of a partition.
func epochOf(t *testing.T, rows *standin.Rows, part string) int64 {
	t.Helper()
	row, err := rows.Table().Row(context.Background(), outside.Key{
		Table: "owner",
		Part:  part,
		Name:  "owner",
	})
	if err != nil {
		t.Fatal(err)
	}
	var o owner.Ownership
	if row != nil {
		if err := cbor.Unmarshal(row.Value, &o); err != nil {
			t.Fatal(err)
		}
	}
	return o.Epoch
}

// TestOrderedInstancesStayBlockedAfterTwoTakeovers lets an instance controller that keeps
// running lose the store while it sends orders. The next controller ends as soon as it has
// claimed, and the third one must not move the instances that the first one ordered.
func TestOrderedInstancesStayBlockedAfterTwoTakeovers(t *testing.T) {
	ends := map[string]func(second *entry){
		"died": func(second *entry) { second.group.Stop() },
		"released": func(second *entry) {
			second.keeper.Release(context.Background(), waitTimeout)
			second.group.Stop()
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rows := standin.NewRows()
			f := &idleFleet{
				moved: make(map[string]map[string]bool),
			}
			var away atomic.Bool
			newEntryWith(t, "a", rejecting(rows, &away), alive("a"), f.deps)
			until(t, "the first controller sends orders", func() bool { return f.count("a") >= 2 })
			silent := func(context.Context, netip.AddrPort, string) (owner.Pong, error) {
				return owner.Pong{}, &outside.UncertainError{
					Call: "ping",
				}
			}
			first := controllerEpoch(t, rows)
			second := newEntryWith(t, "b", rows.Table(), silent, f.deps)
			away.Store(true)
			until(t, "the second controller has claimed", func() bool { return controllerEpoch(t, rows) > first })
			end(second)
			dead := func(context.Context, netip.AddrPort, string) (owner.Pong, error) {
				return owner.Pong{}, &outside.NotDoneError{
					Call: "ping",
				}
			}
			newEntryWith(t, "c", rows.Table(), dead, f.deps)
			until(t, "the third controller sends orders", func() bool { return f.count("c") >= 2 })
			f.mu.Lock()
			defer f.mu.Unlock()
			for instance := range f.moved["c"] {
				is.True(!f.moved["a"][instance]) // The first controller may still send orders for it.
			}
		})
	}
}

// TestControllerIgnoresLoadOfReplacedOwner has the instance controller request the load from
// an owner that has been replaced and does not know it yet. The load that this owner reports
// is outdated.
func TestControllerIgnoresLoadOfReplacedOwner(t *testing.T) {
	for name, behind := range map[string]int64{
		"owner":     0,
		"succeeded": 1,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rows := standin.NewRows()
			writeOwner(t, rows, 5)
			f := &idleFleet{
				moved: make(map[string]map[string]bool),
				fence: func() int64 { return epochOf(t, rows, awake) - behind },
			}
			newEntryWith(t, "a", rows.Table(), alive("a"), f.deps)
			if behind == 0 {
				until(t, "the controller sends orders", func() bool { return f.count("a") >= 2 })
				return
			}
			until(t, "the controller has requested loads", func() bool { return f.loadRequests.Load() >= 20 })
			is.Equal(f.count("a"), 0)
		})
	}
}

// writeOwner writes an owner row for the service that is not asleep.
func writeOwner(t *testing.T, rows *standin.Rows, epoch int64) {
	t.Helper()
	value, err := cbor.Marshal(owner.Ownership{
		Epoch: epoch,
		Owner: "x",
		Peer:  "127.0.0.1:1",
	})
	if err != nil {
		t.Fatal(err)
	}
	_, err = rows.Table().Transact(context.Background(), outside.Transaction{
		Puts: []outside.Put{{
			Key: outside.Key{
				Table: "owner",
				Part:  awake,
				Name:  "owner",
			},
			Value: value,
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
}
