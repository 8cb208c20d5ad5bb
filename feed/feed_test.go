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

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/feed"
	"lemonstream.dev/lemonstream/outside"
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

// TestSourceOfEarlierChangesOnly covers an entry that is behind what its source has kept.
func TestSourceOfEarlierChangesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := feed.NewLog(clock.System(), nil)
		_, confirmed, _, _ := log.After(0)
		is.True(confirmed.IsZero())
		now := time.Now()
		log.Add(10, outside.Change{
			Rows:    rowsAt(11, 12),
			Version: 15,
		}, now)
		change, confirmed, known, _ := log.After(10)
		is.Equal(len(change.Rows), 2)
		is.Equal(change.Version, int64(15))
		is.Equal(confirmed, now)
		is.True(known)
		_, _, known, _ = log.After(9)
		is.Equal(known, false)
		// Another read of the same changes, and an older one, add nothing.
		log.Add(10, outside.Change{
			Rows:    rowsAt(11, 12),
			Version: 14,
		}, now)
		change, _, _, _ = log.After(11)
		is.Equal(len(change.Rows), 1)
		is.Equal(change.Version, int64(15))
		// A gap: what came in between is not known.
		log.Add(20, outside.Change{
			Rows:    rowsAt(21),
			Version: 21,
		}, now)
		_, _, known, _ = log.After(15)
		is.Equal(known, false)
		change, _, known, _ = log.After(20)
		is.True(known)
		is.Equal(len(change.Rows), 1)
	})
}

// TestHeartbeatsAreNotPassedOn covers a table whose rows are written every second or two with
// nothing new in them.
func TestHeartbeatsAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	log := feed.NewLog(clock.System(), func(value []byte) []byte { return value[:1] })
	add := func(after int64, value string) {
		log.Add(after, outside.Change{
			Rows: []outside.Row{{
				Key: outside.Key{
					Name: "w",
				},
				Value:   []byte(value),
				Version: after + 1,
			}},
			Version: after + 1,
		}, time.Now())
	}
	add(1, "a1")
	add(2, "a2")
	add(3, "b3")
	add(4, "b4")
	change, _, known, _ := log.After(1)
	is.True(known)
	is.Equal(len(change.Rows), 2)
	is.Equal(change.Rows[1].Version, int64(4))
	is.Equal(change.Version, int64(5))
}

// TestOldChangesAreForgotten bounds what is kept.
func TestOldChangesAreForgotten(t *testing.T) {
	is := is.New(t)
	log := feed.NewLog(clock.System(), nil)
	log.Add(0, outside.Change{
		Version: 0,
	}, time.Now())
	for version := int64(1); version <= 10_000; version++ {
		log.Add(version-1, outside.Change{
			Rows:    rowsAt(version),
			Version: version,
		}, time.Now())
	}
	_, _, known, _ := log.After(1)
	is.Equal(known, false)
	change, _, known, _ := log.After(9_000)
	is.True(known)
	is.Equal(len(change.Rows), 1_000)
}

// TestLargeChangesAreForgottenSooner covers a configuration of some hundred kilobytes that changes
// again and again, on entries with little memory.
func TestLargeChangesAreForgottenSooner(t *testing.T) {
	is := is.New(t)
	log := feed.NewLog(clock.System(), nil)
	add := func(version int64, size int) {
		log.Add(version-1, outside.Change{
			Rows: []outside.Row{{
				Value:   make([]byte, size),
				Version: version,
			}},
			Version: version,
		}, time.Now())
	}
	for version := int64(1); version <= 100; version++ {
		add(version, 300_000)
	}
	_, _, known, _ := log.After(90)
	is.Equal(known, false)
	change, _, known, _ := log.After(95)
	is.True(known)
	is.Equal(len(change.Rows), 5)
	add(101, 5_000_000)
	change, _, known, _ = log.After(100)
	is.True(known) // The newest one is kept, whatever its size.
	is.Equal(len(change.Rows), 1)
}

// TestTimeOfConfirmation covers what a read that was held tells of the store.
func TestTimeOfConfirmation(t *testing.T) {
	is := is.New(t)
	sent := time.UnixMilli(1_000)
	nothing := outside.Change{}
	something := outside.Change{
		Rows: rowsAt(1),
	}
	is.Equal(feed.ConfirmedAt(nothing, sent, sent.Add(1010*time.Millisecond), time.Second), sent.Add(time.Second))
	is.Equal(feed.ConfirmedAt(nothing, sent, sent.Add(5*time.Second), time.Second), sent.Add(time.Second))
	is.Equal(feed.ConfirmedAt(something, sent, sent.Add(500*time.Millisecond), time.Second), sent)
}

func rowsAt(versions ...int64) []outside.Row {
	var rows []outside.Row
	for _, version := range versions {
		rows = append(rows, outside.Row{
			Key: outside.Key{
				Name: fmt.Sprint(version),
			},
			Version: version,
		})
	}
	return rows
}
