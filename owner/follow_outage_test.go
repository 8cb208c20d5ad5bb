package owner_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/freshness"
	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

// applyBound is the time in which a change of the operator's table has to be in force.
const applyBound = 2 * time.Second

// followed is a copy of the operator's table that is kept by a follower.
type followed struct {
	store *troubledStore
	copy  *freshness.Copy
	group *kernel.Group

	mu sync.Mutex

	// version is that of the newest row that was applied; at is when. back says that an older one
	// was applied after it.
	version int64
	at      time.Time
	back    bool
}

// follow starts a follower of the store; limit is the age up to which the copy is fresh.
func follow(store *troubledStore, limit time.Duration) *followed {
	f := &followed{
		store: store,
		copy: freshness.NewCopy(freshness.Options{
			Clock:       clock.System(),
			Limit:       limit,
			OutageLimit: limit,
		}),
		group: kernel.NewGroup(context.Background(), slog.New(slog.DiscardHandler)),
	}
	f.group.Go("follow", func(ctx context.Context) error {
		return owner.Follower{
			Table: store.table(),
			Name:  "op",
			Clock: clock.System(),
			Log:   slog.New(slog.DiscardHandler),
			Wait:  owner.ShortFeedWait,
			Read:  f.readAll,
			Apply: f.apply,

			Confirmed: f.copy.Confirm,
			Wanted:    f.copy.Wanted(),
		}.Run(ctx)
	})
	return f
}

func (f *followed) readAll(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	took, silenced, err := f.store.enter(ctx)
	if err != nil {
		return 0, err
	}
	page, err := f.store.rows.Table().Get(ctx, "op", "", "", 0)
	if err := f.store.deliver(ctx, took, silenced, err); err != nil {
		return 0, err
	}
	f.apply(page.Rows)
	return page.Version, nil
}

func (f *followed) apply(rows []outside.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, row := range rows {
		f.back = f.back || row.Version < f.version
		if row.Version > f.version {
			f.version = row.Version
			f.at = time.Now()
		}
	}
}

func (f *followed) applied() (version int64, at time.Time, back bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.at, f.back
}

// TestChangeAfterOutageIsInForceInTime covers reads that were sent before the store was back and are
// never answered, and pauses that have grown during the outage.
func TestChangeAfterOutageIsInForceInTime(t *testing.T) {
	t.Cleanup(prove.OneProcessor())
	for _, state := range []storeState{silent, refusing} {
		for outage := 3 * time.Second; outage < 13*time.Second; outage += 110 * time.Millisecond {
			t.Run(fmt.Sprintf("state=%d/%v", state, outage), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store := newTroubledStore(uint64(outage))
					f := follow(store, applyBound)
					defer f.group.Stop()
					time.Sleep(5 * time.Second)
					store.set(state)
					time.Sleep(outage)
					store.set(answering)
					store.write()
					written := time.Now()
					time.Sleep(2 * applyBound)
					if version, at, _ := f.applied(); version == 0 || at.Sub(written) > applyBound {
						t.Errorf("in force %v after the acknowledgement", at.Sub(written))
					}
				})
			})
		}
	}
}

// trouble is a state of the store for some time.
type trouble struct {
	state storeState
	lasts time.Duration

	// writes are the pauses between the changes meanwhile; forgets says that the history goes at
	// the end, heard that other calls of the process are answered whenever the store answers.
	writes  time.Duration
	forgets bool
	heard   bool
}

func drawTrouble(t *rapid.T) trouble {
	return trouble{
		state:   storeState(rapid.IntRange(0, int(states)-1).Draw(t, "state")),
		lasts:   time.Duration(rapid.IntRange(50, 9000).Draw(t, "lasts")) * time.Millisecond,
		writes:  time.Duration(rapid.IntRange(30, 3000).Draw(t, "writes")) * time.Millisecond,
		forgets: rapid.IntRange(0, 5).Draw(t, "forgets") == 0,
		heard:   rapid.Bool().Draw(t, "heard"),
	}
}

// play lets the troubles pass, and returns the first thing that was wrong.
func (f *followed) play(troubles []trouble) string {
	const step = 10 * time.Millisecond
	for _, next := range troubles {
		f.store.set(next.state)
		for passed := time.Duration(0); passed < next.lasts; passed += step {
			if f.store.answers() && passed%next.writes < step {
				f.store.write()
			}
			if next.heard && f.store.answers() && passed%(20*step) == 0 {
				f.copy.Heard()
			}
			time.Sleep(step)
			if wrong := f.judge(); wrong != "" {
				return wrong
			}
		}
		if next.forgets {
			f.store.rows.Forget()
		}
	}
	return ""
}

// judge returns what is wrong at this moment.
func (f *followed) judge() string {
	fresh := f.copy.Fresh()
	version, _, back := f.applied()
	due := f.store.due(time.Now().Add(-applyBound))
	switch {
	case back:
		return fmt.Sprintf("an older version was applied after %d", version)
	case fresh && version < due:
		return fmt.Sprintf("version %d is said to be in force, and %d was acknowledged over %v ago", version, due, applyBound)
	case f.store.calm(applyBound) && version < due:
		return fmt.Sprintf("version %d is in force, the store has answered for %v, and %d was acknowledged before", version, applyBound, due)
	case f.store.calm(applyBound) && !fresh:
		return fmt.Sprintf("the store has answered for %v, and the copy is %v old", applyBound, f.copy.Age())
	}
	return ""
}

// mostFailedReads is the most reads of a second that one of a few entries may send to a store that does
// not answer them. Hundreds of entries wait longer, see Follower.Overdue.
const mostFailedReads = 12

// TestStaleCopyIsNeverFresh draws troubles of the store. The guard is the bound on the age of the copy:
// without it, a version is said to be in force that is not.
func TestStaleCopyIsNeverFresh(t *testing.T) {
	t.Cleanup(prove.OneProcessor())
	prove.Guard(t, prove.Configuration, "stale-copy-decides-nothing", func(on bool) func(*rapid.T) {
		return func(rt *rapid.T) {
			seed := rapid.Uint64().Draw(rt, "seed")
			thin := time.Duration(rapid.IntRange(0, 400).Draw(rt, "thin")) * time.Millisecond
			troubles := make([]trouble, rapid.IntRange(1, 12).Draw(rt, "troubles"))
			for i := range troubles {
				troubles[i] = drawTrouble(rt)
			}
			var wrong string
			var failed int
			synctest.Test(t, func(*testing.T) {
				store := newTroubledStore(seed)
				store.thin = thin
				limit := applyBound
				if !on {
					limit = time.Hour
				}
				f := follow(store, limit)
				defer f.group.Stop()
				time.Sleep(100 * time.Millisecond)
				wrong = f.play(troubles)
				failed = store.mostFailed()
			})
			if wrong != "" {
				rt.Fatalf("%s", wrong)
			}
			if failed > mostFailedReads {
				rt.Fatalf("%d reads in a second were not answered", failed)
			}
		}
	})
}
