// Package lease decides which entry works on a duty. A lease only saves work:
// two holders at once must do no harm, because every promise is carried by a
// conditional transaction.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/store"
)

const (
	// releaseTries is how often a release is written: a renewal under way goes before it at
	// most once, since none begins after it, and another entry takes the row over at most once.
	releaseTries = 3

	// seenMost bounds the leases that a holder remembers. What is forgotten is read
	// again.
	seenMost = 4096
)

// Lease is the value of a lease's row.
type Lease struct {
	// Epoch grows with each change of holder.
	Epoch  int64  `json:"epoch"`
	Holder string `json:"holder"`

	// Until is when the lease lapses, in milliseconds since the Unix epoch.
	Until int64 `json:"until"`
}

// Holder takes and keeps the leases of one entry. It remembers what it saw of
// each, so that a lease that can't change hands yet costs the table nothing.
type Holder struct {
	table  store.Table
	clock  clock.Clock
	id     string
	length time.Duration

	mu sync.Mutex

	// seen maps a name to the lease as last read or written here.
	seen map[string]Lease

	// released is set by Release, after which nothing is taken any more.
	released bool
}

// NotReleasedError reports a lease that could not be given up, since its row was written each
// time before. It lapses by itself.
type NotReleasedError struct {
	Name string
}

// Error names the lease.
func (e *NotReleasedError) Error() string {
	return "lease " + e.Name + " is not released; its row was written meanwhile"
}

// NewHolder returns a holder that takes leases of the given length under id,
// which is unique to the process.
func NewHolder(table store.Table, c clock.Clock, id string, length time.Duration) *Holder {
	return &Holder{
		table:  table,
		clock:  c,
		id:     id,
		length: length,
		seen:   make(map[string]Lease),
	}
}

// Clean deletes the rows of leases that lapsed before the instant, and returns how
// many. A lease that is taken meanwhile stays.
func (h *Holder) Clean(ctx context.Context, before time.Time) (int, error) {
	page, err := h.table.Scan(ctx, fleet.LeasePrefix, 0)
	if err != nil {
		return 0, err
	}
	count := 0
	for _, row := range page.Rows {
		current, err := decode(row)
		if len(row.Value) == 0 || err != nil || current.Until >= clock.Millis(before) {
			continue
		}
		_, err = h.table.Commit(ctx, store.Transaction{
			Op: uuid.NewString(),
			Checks: []store.Check{{
				Key:     row.Key,
				Version: row.Version,
			}},
			Puts: []store.Put{{
				Key: row.Key,
			}},
		})
		if err != nil {
			return count, err
		}
		count++
	}
	return count, nil
}

// Hold takes or renews the lease called name. It returns the lease and whether
// this entry holds it now; an error means that the table gave no answer. The
// end of a renewed lease is reckoned from before the call.
func (h *Holder) Hold(ctx context.Context, name string) (Lease, bool, error) {
	now := h.clock.Now()
	if h.isReleased() {
		return Lease{}, false, nil
	}
	if seen := h.remembered(name); h.fresh(seen, now) || h.elsewhere(seen, now) {
		return seen, seen.Holder == h.id, nil
	}
	key := fleet.LeasePrefix + name
	row, err := h.table.Read(ctx, key)
	if err != nil {
		return Lease{}, false, err
	}
	current, err := decode(row)
	if err != nil {
		return Lease{}, false, err
	}
	h.remember(name, current)
	if h.elsewhere(current, now) {
		return current, false, nil
	}
	if h.fresh(current, now) {
		return current, true, nil
	}
	if h.isReleased() {
		// The row may be the one that Release wrote while it was being read.
		return Lease{}, false, nil
	}
	next := Lease{
		Epoch:  current.Epoch,
		Holder: h.id,
		Until:  clock.Millis(now.Add(h.length)),
	}
	if current.Holder != h.id {
		next.Epoch++
	}
	next, held, err := h.write(ctx, row, next)
	h.remember(name, next)
	return next, held, err
}

// Release lets other entries take every lease that this one holds, at once, and
// takes none any more. It is part of a planned stop.
func (h *Holder) Release(ctx context.Context) error {
	h.mu.Lock()
	h.released = true
	h.mu.Unlock()
	var failures []error
	for _, name := range h.heldNames() {
		failures = append(failures, h.release(ctx, name))
	}
	return errors.Join(failures...)
}

// elsewhere reports whether another entry holds the lease now.
func (h *Holder) elsewhere(current Lease, now time.Time) bool {
	return current.Holder != h.id && clock.Millis(now) < current.Until
}

// fresh reports whether the lease needs no renewal yet.
func (h *Holder) fresh(current Lease, now time.Time) bool {
	return current.Holder == h.id && clock.FromMillis(current.Until).Sub(now) > h.length/2
}

func (h *Holder) write(ctx context.Context, row store.Row, next Lease) (Lease, bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Lease{}, false, fmt.Errorf("encoding lease: %w", err)
	}
	_, err = h.table.Commit(ctx, store.Transaction{
		Op: uuid.NewString(),
		Checks: []store.Check{{
			Key:     row.Key,
			Version: row.Version,
		}},
		Puts: []store.Put{{
			Key:   row.Key,
			Value: value,
		}},
	})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return Lease{}, false, nil
	}
	return next, err == nil, err
}

// heldNames returns the leases that this entry holds, as far as it knows.
func (h *Holder) heldNames() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for name, current := range h.seen {
		if current.Holder == h.id && current.Until > 0 {
			names = append(names, name)
		}
	}
	return names
}

func (h *Holder) isReleased() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.released
}

// release gives one lease up. A renewal under way may write the row first, once: otherwise
// the next entry would wait for as long as a lease lasts.
func (h *Holder) release(ctx context.Context, name string) error {
	for range releaseTries {
		row, err := h.table.Read(ctx, fleet.LeasePrefix+name)
		if err != nil {
			return err
		}
		current, err := decode(row)
		if err != nil || current.Holder != h.id {
			return err
		}
		current.Until = 0
		h.remember(name, current)
		_, written, err := h.write(ctx, row, current)
		if err != nil || written {
			return err
		}
	}
	return &NotReleasedError{
		Name: name,
	}
}

func (h *Holder) remember(name string, current Lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.seen) >= seenMost {
		clear(h.seen)
	}
	h.seen[name] = current
}

func (h *Holder) remembered(name string) Lease {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seen[name]
}

func decode(row store.Row) (Lease, error) {
	var lease Lease
	if len(row.Value) == 0 {
		return lease, nil
	}
	if err := json.Unmarshal(row.Value, &lease); err != nil {
		return lease, fmt.Errorf("decoding lease %s: %w", row.Key, err)
	}
	return lease, nil
}
