package owner_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

const (
	// applyBound is the time in which a change of the operator's table has to be in force.
	applyBound = 2 * time.Second

	// storeCallTimeout is how long the client of the store waits for an answer, beyond the time
	// for which the store may hold it.
	storeCallTimeout = 900 * time.Millisecond
)

// storeState says how a store answers.
type storeState int

const (
	answering storeState = iota
	silent
	refusing
)

// troubledStore is a store with states in virtual time. Whoever asks a silent one, or waits for its
// answer when it falls silent, never gets it.
type troubledStore struct {
	rows  *standin.Rows
	state storeState

	// silenced is closed when the store falls silent.
	silenced chan struct{}

	// sent counts the reads of changes.
	sent int
}

func newTroubledStore() *troubledStore {
	return &troubledStore{
		rows:     standin.NewRows(),
		silenced: make(chan struct{}),
	}
}

func (s *troubledStore) set(state storeState) {
	if s.state != silent && state == silent {
		close(s.silenced)
	}
	if s.state == silent && state != silent {
		s.silenced = make(chan struct{})
	}
	s.state = state
}

func (s *troubledStore) table() outside.Table {
	table := s.rows.Table()
	feed := table.Feed
	table.Feed = func(ctx context.Context, name string, after int64, wait time.Duration) (outside.Change, error) {
		s.sent++
		ctx, cancel := context.WithTimeout(ctx, storeCallTimeout+wait)
		defer cancel()
		switch s.state {
		case silent:
			return outside.Change{}, unanswered(ctx)
		case refusing:
			return outside.Change{}, &outside.NotDoneError{
				Call:   "feed",
				Status: 503,
			}
		default:
		}
		silenced := s.silenced
		change, err := feed(ctx, name, after, wait)
		select {
		case <-silenced:
			return outside.Change{}, unanswered(ctx)
		default:
			return change, err
		}
	}
	return table
}

// unanswered waits until the caller gives up.
func unanswered(ctx context.Context) error {
	<-ctx.Done()
	return &outside.UncertainError{
		Call:  "feed",
		Cause: ctx.Err(),
	}
}

// followed is a copy of the operator's table that is kept by a follower.
type followed struct {
	store *troubledStore

	// version is that of the newest row that was applied; at is when.
	version int64
	at      time.Time
}

// run follows the store until stop is called.
func (f *followed) run(t *testing.T) (stop func()) {
	t.Helper()
	group := kernel.NewGroup(context.Background(), slog.New(slog.DiscardHandler))
	group.Go("follow", func(ctx context.Context) error {
		return owner.Follower{
			Table: f.store.table(),
			Name:  "op",
			Clock: clock.System(),
			Log:   slog.New(slog.DiscardHandler),
			Wait:  owner.ShortFeedWait,
			Read:  func(context.Context) (int64, error) { return 0, nil },
			Apply: f.apply,
		}.Run(ctx)
	})
	return group.Stop
}

func (f *followed) apply(rows []outside.Row) {
	for _, row := range rows {
		if row.Version > f.version {
			f.version = row.Version
			f.at = time.Now()
		}
	}
}

func (s *troubledStore) write() {
	s.rows.Write(outside.Key{
		Table: "op",
		Name:  "config",
	}, []byte("a configuration"))
}

// TestChangeAfterOutageIsInForceInTime covers reads that were sent before the store was back and are
// never answered, and pauses that have grown during the outage.
func TestChangeAfterOutageIsInForceInTime(t *testing.T) {
	for _, state := range []storeState{silent, refusing} {
		for outage := 3 * time.Second; outage < 13*time.Second; outage += 110 * time.Millisecond {
			t.Run(fmt.Sprintf("state=%d/%v", state, outage), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := &followed{
						store: newTroubledStore(),
					}
					stop := f.run(t)
					defer stop()
					time.Sleep(5 * time.Second)
					f.store.set(state)
					time.Sleep(outage)
					f.store.set(answering)
					f.store.write()
					written := time.Now()
					time.Sleep(2 * applyBound)
					if late := f.at.Sub(written); f.version == 0 || late > applyBound {
						t.Errorf("in force %v after the acknowledgement", late)
					}
				})
			})
		}
	}
}
