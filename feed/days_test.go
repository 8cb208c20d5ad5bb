package feed_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"golang.org/x/sync/errgroup"

	"lemonstream.dev/lemonstream/internal/prove"
)

// settled is longer than any call that nobody waits for any more goes on.
const settled = 20 * time.Second

// followAll lets all entries follow the table, until the returned function is called.
func (w *world) followAll() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running errgroup.Group
	for _, m := range w.members {
		running.Go(func() error {
			m.follow(ctx)
			return nil
		})
	}
	return func() {
		cancel()
		_ = running.Wait()
		time.Sleep(settled)
	}
}

// day lets a world run for a while beside faults of its entries, and returns what it broke: an
// entry in touch that has not heard of a change in time, or one that went back.
func day(seed uint64, guarded bool) []string {
	draw := rand.New(rand.NewPCG(seed, 7))
	entries := []int{3, 8, 40}[draw.IntN(3)]
	w := newWorld(entries, 1+draw.IntN(2), draw, guarded)
	stop := w.followAll()
	var faults []string
	for range 60 {
		w.disturb(draw)
		if draw.IntN(3) == 0 {
			w.store.write()
		}
		time.Sleep(time.Duration(100+draw.IntN(700)) * time.Millisecond)
		faults = append(faults, w.judge()...)
	}
	stop()
	return faults
}

// disturb lets something happen to one of the entries, mostly to one that others ask.
func (w *world) disturb(draw *rand.Rand) {
	m := w.members[draw.IntN(len(w.members))]
	if draw.IntN(3) > 0 {
		m = w.members[draw.IntN(w.sources)]
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	until := time.Now().Add(time.Duration(draw.IntN(4000)) * time.Millisecond)
	switch draw.IntN(8) {
	case 0:
		m.frozen = until
	case 1:
		m.awayUntil = until
	case 2:
		m.delayed = until
	}
}

// judge returns which entries in touch have not heard of a change in time.
func (w *world) judge() []string {
	due := w.due()
	var faults []string
	for i, m := range w.members {
		m.mu.Lock()
		back := m.back
		m.mu.Unlock()
		if back {
			faults = append(faults, fmt.Sprintf("entry %d went back", i))
		}
		if seen := m.seen(); m.inTouch() && seen < due {
			faults = append(faults, fmt.Sprintf("entry %d has heard of %d, and %d was written over %v ago", i, seen, due, hearBound))
		}
	}
	return faults
}

// due returns the newest version that every entry must have heard of.
func (w *world) due() int64 {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	newest := int64(0)
	for version, at := range w.store.written {
		if time.Since(at) > hearBound {
			newest = max(newest, version)
		}
	}
	return newest
}

// TestChangesReachAllBesideFaultsOfTheirSources lets sources freeze, lose the store, and answer
// late, and writers write. The guard is that an answer must be fresh: without it, an entry
// believes a source that has lost the store.
func TestChangesReachAllBesideFaultsOfTheirSources(t *testing.T) {
	const days = 60
	t.Cleanup(prove.OneProcessor())
	for _, guarded := range []bool{true, false} {
		t.Run(fmt.Sprintf("guarded=%v", guarded), func(t *testing.T) {
			broken := 0
			for seed := range uint64(days) {
				synctest.Test(t, func(t *testing.T) {
					faults := day(seed, guarded)
					if len(faults) > 0 {
						broken++
					}
					if guarded && len(faults) > 0 {
						t.Errorf("seed %d: %s", seed, faults[0])
					}
				})
			}
			if !guarded && broken == 0 {
				t.Errorf("no day of %d noticed that the guard is missing", days)
			}
		})
	}
}

// Six hundred entries asked the store once a second each for changes of two tables, at all times:
// over half of all calls of a quiet day. It grew with the entries, and a store that takes 16,000
// reads a second would have been full of them alone at 8,000 entries.
func TestOneReadServesMany(t *testing.T) {
	const entries, sources, span = 600, 6, 20
	t.Cleanup(prove.OneProcessor())
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(entries, sources, rand.New(rand.NewPCG(1, 7)), true)
		stop := w.followAll()
		time.Sleep(3 * time.Second)
		began := time.Now().Unix()
		for range span {
			time.Sleep(time.Second)
			w.store.write()
			time.Sleep(50 * time.Millisecond)
			for _, m := range w.members {
				is.Equal(m.seen(), w.store.newest())
			}
		}
		stop()
		sum := 0
		for second, count := range w.store.reads {
			if second >= began {
				sum += count
			}
		}
		// The sources twice a second, with a change in each, and the audits of all others.
		is.True(sum < span*(3*sources+entries/10))
	})
}
