package scheduler

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/freshness"
	"lemonstream.dev/lemonstream/outside"
)

// storeHealth notes when the store last answered.
type storeHealth struct {
	now func() time.Time

	// copies are told of each answer.
	copies []*freshness.Copy

	// answered is in milliseconds since 1970.
	answered atomic.Int64
}

// newStoreHealth returns the health of a store that has not answered, and tells copies of each answer.
func newStoreHealth(clock clock.Clock, copies ...*freshness.Copy) *storeHealth {
	return &storeHealth{
		now:    clock.Now,
		copies: copies,
	}
}

// observe returns the table with every answer noted.
func (h *storeHealth) observe(inner outside.Table) outside.Table {
	return outside.Table{
		Feed: func(ctx context.Context, table string, after int64, wait time.Duration) (outside.Change, error) {
			change, err := inner.Feed(ctx, table, after, wait)
			h.note(err)
			return change, err
		},
		Get: func(ctx context.Context, table, part, from string, limit int) (outside.Page, error) {
			page, err := inner.Get(ctx, table, part, from, limit)
			h.note(err)
			return page, err
		},
		Row: func(ctx context.Context, key outside.Key) (*outside.Row, error) {
			row, err := inner.Row(ctx, key)
			h.note(err)
			return row, err
		},
		Transact: func(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
			receipt, err := inner.Transact(ctx, tx)
			h.note(err)
			return receipt, err
		},
	}
}

func (h *storeHealth) note(err error) {
	var conflict *outside.ConflictError
	var gone *outside.HistoryGoneError
	if err == nil || errors.As(err, &conflict) || errors.As(err, &gone) {
		h.answered.Store(h.now().UnixMilli())
		for _, c := range h.copies {
			c.Heard()
		}
	}
}

// heard notes that another entry has told what the store confirmed a moment ago.
func (h *storeHealth) heard() {
	h.answered.Store(h.now().UnixMilli())
}

// silence returns how long ago the store last answered, or another entry told of it.
func (h *storeHealth) silence() time.Duration {
	return h.now().Sub(time.UnixMilli(h.answered.Load()))
}
