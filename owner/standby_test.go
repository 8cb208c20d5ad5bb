package owner_test

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

// withPartitionDown returns a table over the rows that leaves the transactions of the given
// partition unanswered while down is set.
func withPartitionDown(rows *standin.Rows, part string, down *atomic.Bool) outside.Table {
	table := rows.Table()
	write := table.Transact
	table.Transact = func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
		if down.Load() && tx.Puts[0].Key.Part == part {
			return outside.Receipt{}, &outside.UncertainError{
				Call: "transact",
			}
		}
		return write(ctx, tx)
	}
	return table
}

// withOwnersUnread returns the table without answers to reads of owners' rows while down is set.
func withOwnersUnread(table outside.Table, down *atomic.Bool) outside.Table {
	feed, get := table.Feed, table.Get
	table.Get = func(ctx context.Context, name, part, from string, limit int) (outside.Page, error) {
		if down.Load() && name == owner.TableOwners {
			return outside.Page{}, &outside.UncertainError{
				Call: "get",
			}
		}
		return get(ctx, name, part, from, limit)
	}
	table.Feed = func(ctx context.Context, name string, after int64, wait time.Duration) (outside.Change, error) {
		change, err := feed(ctx, name, after, wait)
		if down.Load() && name == owner.TableOwners {
			return outside.Change{}, &outside.UncertainError{
				Call: "feed",
			}
		}
		return change, err
	}
	return table
}

// withWritesDown returns the table without answers to transactions, and to reads of changes of owners'
// rows, while down is set.
func withWritesDown(table outside.Table, down *atomic.Bool) outside.Table {
	write := table.Transact
	table.Transact = func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
		if down.Load() {
			return outside.Receipt{}, &outside.UncertainError{
				Call: "transact",
			}
		}
		return write(ctx, tx)
	}
	return withOwnersUnread(table, down)
}

func isInStandby(t *testing.T, rows *standin.Rows, key outside.Key) bool {
	t.Helper()
	row, err := rows.Table().Row(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	return row != nil
}

// TestOwnerAcceptsJobsWhilePartitionIsDown covers an outage of one partition of the store that
// affects the service's owner only.
func TestOwnerAcceptsJobsWhilePartitionIsDown(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	var down atomic.Bool
	e := newEntryOn(t, "a", withPartitionDown(rows, "s", &down), alive("a"))
	until(t, "the entry owns the service", e.owns)
	duty, _ := e.keeper.Duty("s")
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	is.NoErr(duty.Submit(ctx, record("before")))
	down.Store(true)
	is.NoErr(duty.Submit(ctx, record("meanwhile")))
	is.True(isInStandby(t, rows, owner.StandbyIntakeKey("s", "meanwhile")))
	known, err := duty.Cancel(ctx, catalog.Caller{}, "before")
	is.NoErr(err)
	is.True(known)
	is.True(isInStandby(t, rows, owner.StandbyProgressKey("s", "before")))
	state, _ := duty.State(catalog.Caller{}, "before")
	is.Equal(state, job.Cancelled)
	down.Store(false)
	_, err = duty.Cancel(ctx, catalog.Caller{}, "meanwhile")
	is.NoErr(err)
	until(t, "the service's own partition holds the progress of both jobs, and the standby partition is empty", func() bool {
		return isInStandby(t, rows, owner.ProgressKey("s", "before")) &&
			isInStandby(t, rows, owner.ProgressKey("s", "meanwhile")) &&
			!isInStandby(t, rows, owner.StandbyProgressKey("s", "before")) &&
			!isInStandby(t, rows, owner.StandbyIntakeKey("s", "meanwhile"))
	})
	is.True(!isStored(t, rows, "before"))
}

// TestNextOwnerFencesStandbyPartition lets an owner that has been replaced, and does not know
// it yet, write to the standby partition. None of its writes may take effect.
func TestNextOwnerFencesStandbyPartition(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	var down atomic.Bool
	first := newEntryOn(t, "a", withOwnersUnread(withPartitionDown(rows, "s", &down), &down), alive("a"))
	until(t, "the first entry owns the service", first.owns)
	duty, _ := first.keeper.Duty("s")
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	down.Store(true)
	is.NoErr(duty.Submit(ctx, record("known")))
	// The partition is down for the first entry only.
	second := newEntry(t, "b", rows, func(context.Context, netip.AddrPort, string) (owner.Pong, error) {
		return owner.Pong{}, &outside.NotDoneError{
			Call: "ping",
		}
	})
	until(t, "the second entry owns the service", second.owns)
	successor, _ := second.keeper.Duty("s")
	until(t, "the second entry has read the standby partition", func() bool {
		state, found := successor.State(catalog.Caller{}, "known")
		return found && state == job.Queued
	})
	err := duty.Submit(ctx, record("late"))
	is.True(err != nil)
	var notDone *outside.NotDoneError
	is.True(!errors.As(err, &notDone) || !isInStandby(t, rows, owner.StandbyIntakeKey("s", "late")))
	is.True(outside.IsUncertain(err)) // The next owner may have read what an attempt has written.
	is.True(!isInStandby(t, rows, owner.StandbyIntakeKey("s", "late")))
}

// TestUnreadableRowIsSkipped writes rows that cannot be decoded to the standby partition. The
// next owner has to handle the other rows.
func TestUnreadableRowIsSkipped(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	first := newEntry(t, "a", rows, alive("a"))
	until(t, "the first entry owns the service", first.owns)
	rows.Write(owner.StandbyIntakeKey("s", "broken"), []byte("no record"))
	rows.Write(owner.StandbyProgressKey("s", "broken"), []byte("no progress"))
	rows.Write(owner.StandbyIntakeKey("s", "whole"), record("whole").Encode())
	second := newEntry(t, "b", rows, func(context.Context, netip.AddrPort, string) (owner.Pong, error) {
		return owner.Pong{}, &outside.NotDoneError{
			Call: "ping",
		}
	})
	until(t, "the second entry owns the service", second.owns)
	successor, _ := second.keeper.Duty("s")
	until(t, "the job is known", func() bool {
		state, found := successor.State(catalog.Caller{}, "whole")
		return found && state == job.Queued
	})
	_, found := successor.State(catalog.Caller{}, "broken")
	is.True(!found)
}
