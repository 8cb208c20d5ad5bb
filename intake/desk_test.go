package intake_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/intake"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/peer"
	"lemonstream.dev/lemonstream/shard"
)

// ownerEntry is an entry that owns the service, or takes it later, over a store of
// its own: what it writes is told apart from what the entry under test writes.
type ownerEntry struct {
	address netip.AddrPort

	// held is the duty that takes jobs; nil while there is none.
	held atomic.Pointer[owner.Duty]

	// flying counts the calls under way, most the highest such count, and calls all.
	flying atomic.Int64
	most   atomic.Int64
	calls  atomic.Int64
	pings  atomic.Int64
}

// newOwnerEntry returns an entry that answers other entries, from the duty that it
// is given later.
func newOwnerEntry(t testing.TB) *ownerEntry {
	t.Helper()
	gin.SetMode(gin.ReleaseMode)
	e := &ownerEntry{}
	held := func(string) (*owner.Duty, bool) {
		duty := e.held.Load()
		return duty, duty != nil
	}
	server := &peer.Server{
		Incarnation: "o",
		Duty:        held,
		Held:        held,
		WriteAge:    func(string) (time.Duration, bool) { return 0, e.held.Load() != nil },
	}
	router := gin.New()
	router.Use(func(c *gin.Context) {
		if c.FullPath() == "/v1/ping" {
			e.pings.Add(1)
			c.Next()
			return
		}
		e.calls.Add(1)
		flying := e.flying.Add(1)
		for most := e.most.Load(); flying > most && !e.most.CompareAndSwap(most, flying); most = e.most.Load() {
		}
		c.Next()
		e.flying.Add(-1)
	})
	server.Routes(router)
	listener := httptest.NewServer(router)
	t.Cleanup(listener.Close)
	e.address = netip.MustParseAddrPort(listener.Listener.Addr().String())
	return e
}

// askFor is ask for a caller with a patience of its own.
func askFor(handler http.Handler, path string, patience time.Duration) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://h"+path, jobBody())
	request.Header.Set("Patience", fmt.Sprint(patience.Milliseconds()))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// handInTogether hands many jobs in at once and returns how many were accepted.
func handInTogether(handler http.Handler, jobs int, patience time.Duration) int {
	var all sync.WaitGroup
	var taken atomic.Int64
	for i := range jobs {
		all.Go(func() {
			if askFor(handler, fmt.Sprintf("/q/%d", i), patience).Code == http.StatusOK {
				taken.Add(1)
			}
		})
	}
	all.Wait()
	return int(taken.Load())
}

// TestJobsWaitForTheNextOwnerAndGoTogether hands in two hundred jobs while a service
// is between two owners. They go to the next one, in a bounded number of calls, and
// the entry fills the part of the store with none of them.
func TestJobsWaitForTheNextOwnerAndGoTogether(t *testing.T) {
	const jobs = 200
	is := is.New(t)
	rows := standin.NewRows()
	duty := newDuty(t, standin.NewRows())
	other := newOwnerEntry(t)
	var known atomic.Bool
	entry := serveOwned(t, rows, func(s *intake.Server) {
		s.Owners.Owner = func(string) (netip.AddrPort, bool) { return other.address, known.Load() }
		s.Owners.Peers = peer.NewClient()
	})
	var together sync.WaitGroup
	taken := 0
	together.Go(func() { taken = handInTogether(entry, jobs, 20*time.Second) })
	time.Sleep(100 * time.Millisecond) // Some meet the service without an owner.
	other.held.Store(duty)
	known.Store(true)
	together.Wait()
	is.Equal(taken, jobs)
	written, _, err := rows.Table().ReadAll(context.Background(), "intake.s", "s")
	is.NoErr(err)
	is.Equal(len(written), 0) // The owner wrote all of them.
	is.True(other.most.Load() <= 2)
	is.True(other.calls.Load() < jobs)
}

// TestJobsGoOnFromAnOwnerThatLeft has the entry know an owner that is none any more:
// its word that it did not take a job is certain, and the job goes to the next one.
func TestJobsGoOnFromAnOwnerThatLeft(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	duty := newDuty(t, standin.NewRows())
	first, second := newOwnerEntry(t), newOwnerEntry(t)
	second.held.Store(duty)
	var moved atomic.Bool
	entry := serveOwned(t, rows, func(s *intake.Server) {
		s.Owners.Owner = func(string) (netip.AddrPort, bool) {
			if moved.Load() {
				return second.address, true
			}
			return first.address, true
		}
		s.Owners.Peers = peer.NewClient()
	})
	var together sync.WaitGroup
	taken := 0
	together.Go(func() { taken = handInTogether(entry, 50, 20*time.Second) })
	for first.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	moved.Store(true)
	together.Wait()
	is.Equal(taken, 50)
	written, _, err := rows.Table().ReadAll(context.Background(), "intake.s", "s")
	is.NoErr(err)
	is.Equal(len(written), 0)
	is.True(first.calls.Load() <= 8) // It is not asked by each job.
}

// TestWritesWithoutAnOwnerLeaveThePartFree hands jobs in where there is no owner for
// long. The entry writes them itself, many in a transaction and with a pause between
// two, so that the next owner finds a part that takes its own transactions.
func TestWritesWithoutAnOwnerLeaveThePartFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows := standin.NewRows()
		var writes atomic.Int64
		rows.Before = func(_ context.Context, call standin.Call) error {
			if call.Kind == "transact" {
				writes.Add(1)
			}
			return nil
		}
		entry := serveOwned(t, rows, func(s *intake.Server) {
			s.WritePause = func() time.Duration { return 100 * time.Millisecond }
		})
		is.Equal(handInTogether(entry, 120, 3*time.Second), 120)
		is.True(writes.Load() <= 5) // 33 jobs with their conditions fill a transaction.
	})
}

// TestConflictOfOneJobHoldsUpNoOther writes jobs together of which some stand already.
func TestConflictOfOneJobHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows := standin.NewRows()
		for _, id := range []string{"3", "7"} {
			rows.Write(owner.IntakeKey("s", id), []byte("stands"))
		}
		entry := serveOwned(t, rows, func(*intake.Server) {})
		is.Equal(handInTogether(entry, 10, 3*time.Second), 10)
		written, _, err := rows.Table().ReadAll(t.Context(), "intake.s", "s")
		is.NoErr(err)
		is.Equal(len(written), 10)
		row, err := rows.Table().Row(t.Context(), owner.IntakeKey("s", "3"))
		is.NoErr(err)
		is.Equal(string(row.Value), "stands") // What stood is not written over.
	})
}

// TestSilentOwnerIsAskedOnceForAllThatWait has an owner that takes calls and answers
// none. What the entry asks whether it works must not grow with its callers.
func TestSilentOwnerIsAskedOnceForAllThatWait(t *testing.T) {
	is := is.New(t)
	other := newOwnerEntry(t)
	other.held.Store(newSilentDuty(t))
	var looks atomic.Int64
	entry := serveOwned(t, standin.NewRows(), func(s *intake.Server) {
		s.Owners.Owner = func(string) (netip.AddrPort, bool) {
			looks.Add(1)
			return other.address, true
		}
		s.Owners.Peers = peer.NewClient()
	})
	handInTogether(entry, 200, 2*time.Second)
	is.True(other.pings.Load() > 0)   // The calls that are held leave a connection for it.
	is.True(looks.Load() <= 4000)     // Nobody goes round without a rest: 20 a caller at the most.
	is.True(other.pings.Load() <= 20) // Two calls, one question each 0.4 s.
	is.True(other.most.Load() <= 2)
}

// TestCallsThatAnOwnerHoldsHoldUpNoneAtTheNext has an owner that answers nothing, and
// then another.
func TestCallsThatAnOwnerHoldsHoldUpNoneAtTheNext(t *testing.T) {
	is := is.New(t)
	first, second := newOwnerEntry(t), newOwnerEntry(t)
	first.held.Store(newSilentDuty(t))
	second.held.Store(newDuty(t, standin.NewRows()))
	var moved atomic.Bool
	entry := serveOwned(t, standin.NewRows(), func(s *intake.Server) {
		s.Owners.Owner = func(string) (netip.AddrPort, bool) {
			if moved.Load() {
				return second.address, true
			}
			return first.address, true
		}
		s.Owners.Peers = peer.NewClient()
	})
	var before sync.WaitGroup
	for i := range 2 {
		before.Go(func() { askFor(entry, fmt.Sprintf("/q/before-%d", i), 20*time.Second) })
		for first.calls.Load() <= int64(i) {
			time.Sleep(time.Millisecond)
		}
	}
	moved.Store(true)
	is.Equal(askFor(entry, "/q/after", 20*time.Second).Code, http.StatusOK)
	before.Wait()
}

// TestCallerOfASilentStoreHasTimeToComeBack has a store that takes a transaction and
// never answers: whether the job was taken is open, and the caller hears that while it
// can still hand the job in again.
func TestCallerOfASilentStoreHasTimeToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows := standin.NewRows()
		rows.Before = func(ctx context.Context, call standin.Call) error {
			if call.Kind != "transact" {
				return nil
			}
			<-ctx.Done()
			return &outside.UncertainError{
				Call: "transact",
			}
		}
		entry := serveOwned(t, rows, func(*intake.Server) {})
		began := time.Now()
		answer := askFor(entry, "/q/a", 3*time.Second)
		is.Equal(answer.Code, http.StatusGatewayTimeout)
		is.True(answer.Header().Get("Retry-After") != "")
		is.True(time.Since(began) <= 2*time.Second) // The second that it is told to wait is left.
	})
}

// newDuty returns the duty of an owner of the service over the rows.
func newDuty(t testing.TB, rows *standin.Rows) *owner.Duty {
	t.Helper()
	keeper := newKeeper(t, rows)
	for {
		if duty, found := keeper.Duty("s"); found {
			return duty
		}
		time.Sleep(time.Millisecond)
	}
}

// newSilentDuty returns a duty whose store has fallen silent.
func newSilentDuty(t *testing.T) *owner.Duty {
	t.Helper()
	rows := standin.NewRows()
	var silent atomic.Bool
	rows.Before = func(ctx context.Context, call standin.Call) error {
		if silent.Load() && call.Kind == "transact" {
			<-ctx.Done()
			return ctx.Err()
		}
		return nil
	}
	duty := newDuty(t, rows)
	silent.Store(true)
	return duty
}

func newKeeper(t testing.TB, rows *standin.Rows) *owner.Keeper {
	t.Helper()
	log := discard()
	group := newGroup(t)
	table := rows.Table()
	keeper := owner.NewKeeper(owner.Deps{
		Clock:    clock.System(),
		Group:    group,
		Log:      log,
		Table:    table,
		Slow:     func() bool { return false },
		Catalog:  oneRoute,
		Registry: owner.NewRegistry(table, clock.System(), "workers", noWorker, log),
		Options: shard.Options{
			Lease: time.Second,
		},
	}, owner.Self{
		Member: owner.Member{
			Incarnation: "o",
		},
		Peer: netip.MustParseAddrPort("127.0.0.1:1"),
	}, func() []owner.Member { return nil }, func(context.Context, netip.AddrPort, string) (owner.Pong, error) {
		return owner.Pong{
			Incarnation: "o",
			Owns:        true,
		}, nil
	})
	group.Go("owners", keeper.WatchOwners)
	group.Go("keeper", keeper.Run)
	return keeper
}
