package member_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

// TestOutageMakesNobodyLapse keeps a member whose row could not be read again
// from counting as gone: the side of a cut that has no table would otherwise
// take the whole of every quota.
func TestOutageMakesNobodyLapse(t *testing.T) {
	is := is.New(t)
	table := standin.NewTable()
	var faults standin.Switch
	now := standin.NewManual(time.UnixMilli(1_000_000))
	clock := now.Clock(func() time.Duration { return 0 })
	body, err := json.Marshal(state.Member{
		ID:    "other",
		Until: 1_010_000,
	})
	is.NoErr(err)
	_, err = table.Transact(store.Transaction{
		Puts: []store.Put{{
			Key:   fleet.MemberPrefix + "other",
			Value: body,
		}},
	})
	is.NoErr(err)
	log := slog.New(slog.DiscardHandler)
	group := kernel.NewGroup(context.Background(), log)
	t.Cleanup(group.Stop)
	outside := store.Platform{
		Table: standin.InMemory(table, &faults, &standin.Late{}),
		Instances: store.Instances{
			List: func(context.Context) ([]store.Listed, error) { return nil, nil },
		},
	}
	watch := state.NewWatch(outside, clock, log, 5*time.Millisecond)
	transport, address := listen(t, issue(t))
	peers := member.NewPeers(fleet.Self{
		ID:    "self",
		Peers: address,
	}, transport, watch, clock, group, log, member.PeersOptions{
		Seeds:       []netip.AddrPort{},
		Interval:    time.Second,
		SilentAfter: time.Second,
	})
	group.Go("watch", watch.Run)
	until := func(want int) {
		t.Helper()
		for begin := time.Now(); len(peers.Live()) != want; time.Sleep(time.Millisecond) {
			if time.Since(begin) > time.Minute {
				t.Fatalf("%d others may be alive, not %d", len(peers.Live()), want)
			}
		}
	}
	until(1)
	faults.Set(standin.FaultDown)
	fresh := watch.FreshAt()
	now.Step(time.Hour)
	time.Sleep(50 * time.Millisecond) // Some looks that fail.
	is.Equal(watch.FreshAt(), fresh)
	is.Equal(len(peers.Live()), 1) // Nobody can say that it is gone.
	faults.Set(standin.FaultNone)
	until(0) // The table says so.
}
