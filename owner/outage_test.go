package owner_test

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/shard"
)

// outageSite is a site of entries that ask each other for promises, in virtual time. The first entry
// that starts owns the service.
type outageSite struct {
	rows     *standin.Rows
	timeout  time.Duration
	services []string
	entries  []*outageEntry

	// requests counts the requests for promises, claims the claims that reached the store.
	requests, claims atomic.Int64
}

// outageEntry is an entry of an outageSite. away cuts it off from the store, dead from the others.
// earlier says that its row is of an earlier version, up that it has been started.
type outageEntry struct {
	*entry
	owner.Self
	away, dead, earlier, up atomic.Bool
}

func newOutageSite(timeout time.Duration) *outageSite {
	return &outageSite{
		rows:     standin.NewRows(),
		timeout:  timeout,
		services: []string{"s"},
	}
}

// start starts entries of the given names, each with fewer cores than the one before.
func (s *outageSite) start(t *testing.T, names ...string) {
	t.Helper()
	for i, name := range names {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(len(s.entries)+1))
		s.entries = append(s.entries, &outageEntry{
			Self: owner.Self{
				Member: owner.Member{
					Incarnation: name,
					Cores:       float64(10 - i),
					Peer:        address.String(),
				},
				Peer: address,
			},
		})
	}
	for _, e := range s.entries {
		if e.entry == nil {
			e.entry = s.newEntry(t, e)
			e.up.Store(true)
			time.Sleep(time.Second)
		}
	}
}

func (s *outageSite) newEntry(t *testing.T, e *outageEntry) *entry {
	t.Helper()
	l := newLines()
	group := kernel.NewGroup(context.Background(), l.logger())
	t.Cleanup(group.Stop)
	table := s.table(e)
	current := &catalog.Catalog{
		Version: 1,
	}
	for _, service := range s.services {
		current.Services = append(current.Services, catalog.Service{
			Name: service,
		})
	}
	registry := owner.NewRegistry(table, clock.System(), "workers", func(id string, _ []byte) (outside.Registration, error) {
		return outside.Registration{
			ID: id,
		}, nil
	}, l.logger())
	keeper := owner.NewKeeper(owner.Deps{
		Count:    func(string, string) {},
		Clock:    clock.System(),
		Group:    group,
		Log:      l.logger(),
		Table:    table,
		Slow:     func() bool { return false },
		Catalog:  func() *catalog.Catalog { return current },
		Registry: registry,
		Options: shard.Options{
			Lease: time.Second,
		},
		ListMembers: func(context.Context) ([]owner.Member, error) { return nil, nil },
		RequestPromise: func(ctx context.Context, to netip.AddrPort, request owner.PromiseRequest) (owner.PromiseAnswer, error) {
			s.requests.Add(1)
			other, err := s.reach(e, to)
			if err != nil {
				return owner.PromiseAnswer{}, err
			}
			return other.keeper.Promise(ctx, request), nil
		},
		OutageTimeout: s.timeout,
	}, e.Self, s.members, func(_ context.Context, to netip.AddrPort, service string) (owner.Pong, error) {
		other, err := s.reach(e, to)
		if err != nil {
			return owner.Pong{}, err
		}
		other.keeper.Contacted(e.Incarnation)
		age, owns := other.keeper.WriteAge(service)
		return owner.Pong{
			Incarnation: other.Incarnation,
			Owns:        owns,
			WriteAge:    age,
			TurnedAway:  other.keeper.TurnedAway(service),
		}, nil
	})
	group.Go("registry", registry.Run)
	group.Go("owners", keeper.WatchOwners)
	group.Go("keeper", keeper.Run)
	return &entry{
		keeper: keeper,
		group:  group,
		lines:  l,
	}
}

func (s *outageSite) members() []owner.Member {
	var list []owner.Member
	for _, e := range s.entries {
		member := e.Member
		if e.earlier.Load() {
			member.Peer = ""
		}
		list = append(list, member)
	}
	return list
}

// reach returns the entry at an address, unless it or the calling one is cut off.
func (s *outageSite) reach(from *outageEntry, to netip.AddrPort) (*outageEntry, error) {
	for _, e := range s.entries {
		if e.Peer == to && e.up.Load() && !e.dead.Load() && !from.dead.Load() {
			return e, nil
		}
	}
	return nil, &outside.UncertainError{
		Call: "peer",
	}
}

// table returns the store as an entry reaches it.
func (s *outageSite) table(e *outageEntry) outside.Table {
	inner := s.rows.Table()
	check := func() error {
		if e.away.Load() {
			return &outside.NotDoneError{
				Call:   "any",
				Status: http.StatusBadGateway,
			}
		}
		return nil
	}
	return outside.Table{
		Feed: func(ctx context.Context, table string, after int64, wait time.Duration) (outside.Change, error) {
			if err := check(); err != nil {
				return outside.Change{}, err
			}
			return inner.Feed(ctx, table, after, wait)
		},
		Get: func(ctx context.Context, table, part, from string, limit int) (outside.Page, error) {
			if err := check(); err != nil {
				return outside.Page{}, err
			}
			return inner.Get(ctx, table, part, from, limit)
		},
		Row: func(ctx context.Context, key outside.Key) (*outside.Row, error) {
			if err := check(); err != nil {
				return nil, err
			}
			return inner.Row(ctx, key)
		},
		Transact: func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
			if err := check(); err != nil {
				return outside.Receipt{}, err
			}
			if tx.Puts[0].Key.Table == "owner" && slices.Contains(s.services, tx.Puts[0].Key.Part) {
				s.claims.Add(1)
			}
			return inner.Transact(ctx, tx)
		},
	}
}

// cut makes the store unavailable, or available again, to entries.
func (s *outageSite) cut(away bool, names ...string) {
	for _, e := range s.entries {
		if slices.Contains(names, e.Incarnation) {
			e.away.Store(away)
		}
	}
}

// beat returns the heartbeat row of the service.
func (s *outageSite) beat(t *testing.T) owner.Beat {
	t.Helper()
	row, err := s.rows.Table().Row(context.Background(), outside.Key{
		Table: "beat",
		Part:  "s",
		Name:  "beat",
	})
	if err != nil || row == nil {
		t.Fatal("no heartbeat row", err)
	}
	return beatIn(t, row.Value)
}

// TestOwnerContinuesThroughOutage makes the store unavailable to all entries. The owner gave its
// service up after 4 s, and all services were claimed at the same time when the store was back.
func TestOwnerContinuesThroughOutage(t *testing.T) {
	for name, test := range map[string]struct {
		timeout, outage time.Duration
		owns            bool
	}{
		"promises":       {8 * time.Second, 7 * time.Second, true},
		"limit":          {8 * time.Second, 9 * time.Second, false},
		"switched off":   {0, 5 * time.Second, false},
		"base unchanged": {0, 3 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newOutageSite(test.timeout)
				s.start(t, "a", "b", "c")
				time.Sleep(3 * time.Second)
				is.Equal(s.requests.Load(), int64(0)) // Nothing is asked in normal operation.
				s.cut(true, "a", "b", "c")
				time.Sleep(test.outage)
				is.Equal(s.entries[0].owns(), test.owns)
				s.claims.Store(0)
				s.cut(false, "a", "b", "c")
				time.Sleep(3 * time.Second)
				if test.owns {
					is.Equal(s.claims.Load(), int64(0))
					is.True(s.entries[0].owns())
					return
				}
				// One entry claims the service, and not all that could.
				is.Equal(s.claims.Load(), int64(1))
			})
		})
	}
}

// TestClaimsAfterLongOutageAreFew lets an outage outlast the limit at several services. Each is claimed
// once: the delays by rank and by the number of parts that an entry holds keep entries from racing.
func TestClaimsAfterLongOutageAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newOutageSite(8 * time.Second)
		s.services = []string{"s", "t", "u", "v", "w", "x"}
		s.start(t, "a", "b", "c", "d")
		time.Sleep(3 * time.Second)
		s.cut(true, "a", "b", "c", "d")
		time.Sleep(10 * time.Second)
		for _, service := range s.services {
			_, owned := s.entries[0].keeper.Duty(service)
			is.True(!owned)
		}
		s.claims.Store(0)
		s.cut(false, "a", "b", "c", "d")
		time.Sleep(5 * time.Second)
		is.Equal(s.claims.Load(), int64(len(s.services)))
		for _, service := range s.services {
			owners := 0
			for _, e := range s.entries {
				if _, owned := e.keeper.Duty(service); owned {
					owners++
				}
			}
			is.Equal(owners, 1)
		}
	})
}

// TestOwnerAloneWithoutStoreIsReplaced guards against promises of a witness that reaches the store: it
// would wait for an owner that has to be replaced.
func TestOwnerAloneWithoutStoreIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newOutageSite(8 * time.Second)
		s.start(t, "a", "b", "c")
		time.Sleep(3 * time.Second)
		s.cut(true, "a")
		time.Sleep(2800 * time.Millisecond)
		is.True(s.entries[1].owns())
		is.True(s.requests.Load() > 0)
		is.Equal(s.beat(t).Epoch, int64(2))
	})
}

// TestOwnerWithoutAnsweringWitnessKeepsBaseBound guards against an owner that continues although one
// witness has not promised. The next write after the outage names others.
func TestOwnerWithoutAnsweringWitnessKeepsBaseBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newOutageSite(8 * time.Second)
		s.start(t, "a", "b", "c")
		time.Sleep(3 * time.Second)
		is.Equal(s.beat(t).Witnesses, []string{"b", "c"})
		s.entries[1].dead.Store(true)
		s.cut(true, "a", "b", "c")
		time.Sleep(3 * time.Second)
		is.True(s.entries[0].owns())
		s.cut(false, "a", "c")
		time.Sleep(time.Second)
		is.Equal(s.beat(t).Witnesses, []string{"c"})
		s.entries[2].dead.Store(true)
		s.cut(true, "a", "c")
		time.Sleep(4700 * time.Millisecond)
		is.True(!s.entries[0].owns())
	})
}

// TestOutsiderAllowsForPromises lets only an entry that is no witness reach the store. It assumes that
// the owner acts until 8 s after its last write, and lets witnesses go first.
func TestOutsiderAllowsForPromises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newOutageSite(8 * time.Second)
		s.start(t, "a", "b", "c", "d", "e")
		time.Sleep(4 * time.Second)
		is.Equal(s.beat(t).Witnesses, []string{"b", "c", "d"})
		s.cut(true, "a", "b", "c", "d")
		lost := time.Now()
		for !s.entries[4].owns() {
			time.Sleep(10 * time.Millisecond)
		}
		// It ranks fourth, which makes 0.6 s, and waits 1 s because it is no witness.
		is.True(s.entries[4].lines.seenAt("service taken").Sub(s.entries[4].lines.seenAt("owner writes nothing")) >= 1600*time.Millisecond)
		is.True(s.entries[0].owns()) // The first owner still renews what it can reach.
		const lease = time.Second
		left := time.Duration(s.beat(t).UnobservedMillis) * time.Millisecond
		is.True(time.Since(lost)+left >= 8*time.Second+lease)
		is.True(left > owner.UnobservedFor(lease, false))
		time.Sleep(9 * time.Second)
		is.True(!s.entries[0].owns())
	})
}
