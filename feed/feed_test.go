package feed_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/feed"
	"lemonstream.dev/lemonstream/outside"
)

// TestSourceOfEarlierChangesOnly covers an entry that is behind what its source has kept.
func TestSourceOfEarlierChangesOnly(t *testing.T) {
	is := is.New(t)
	log := feed.NewLog(nil)
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
}

// TestHeartbeatsAreNotPassedOn covers a table whose rows are written every second or two with
// nothing new in them.
func TestHeartbeatsAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	log := feed.NewLog(func(value []byte) []byte { return value[:1] })
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
	log := feed.NewLog(nil)
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
	log := feed.NewLog(nil)
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

// TestReaderServesManyAtOnce lets entries ask one that follows two tables at the store meanwhile.
func TestReaderServesManyAtOnce(t *testing.T) {
	is := is.New(t)
	reader := feed.NewReader(feed.Options{
		Table: outside.Table{
			Feed: func(_ context.Context, _ string, after int64, _ time.Duration) (outside.Change, error) {
				return outside.Change{
					Rows:    rowsAt(after + 1),
					Version: after + 1,
				}, nil
			},
		},
		Sources: func(string) []netip.AddrPort { return nil },
		Fresh:   time.Hour,
		Clock:   clock.System(),
		Count:   func(string, string) {},
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	var all errgroup.Group
	for _, table := range []string{"a", "b"} {
		_, err := reader.Feed(context.Background(), table, 0, 0)
		is.NoErr(err)
		all.Go(func() error {
			for version := int64(1); version < 100; version++ {
				if _, err := reader.Feed(context.Background(), table, version, 0); err != nil {
					return err
				}
			}
			return nil
		})
		for range 4 {
			all.Go(func() error {
				for after := int64(0); after < 100; {
					passed, err := reader.Pass(context.Background(), table, after, time.Second)
					if err != nil {
						return err
					}
					after = max(after, passed.Version)
				}
				return nil
			})
		}
	}
	is.NoErr(all.Wait())
}
