package standin

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/outside"
)

const (
	// MaxRowBytes is the most bytes of a row, maxTransactionBytes that of a transaction. A transaction
	// with more is rejected.
	MaxRowBytes         = 65_536
	maxTransactionBytes = 1_000_000
)

// Rows is the stand-in's transactional table as the users' platform describes
// it: rows in parts, one version for each transaction, and a history of changes.
type Rows struct {
	// Before is called before a call takes effect, After once it has; either
	// may wait, or return an error in place of the answer.
	Before func(ctx context.Context, call Call) error
	After  func(ctx context.Context, call Call) error

	mu      sync.Mutex
	started time.Time
	version int64
	rows    map[outside.Key]outside.Row
	history []outside.Row

	// forgotten is the version up to which the history is gone.
	forgotten int64

	// changed is closed and replaced with every transaction.
	changed chan struct{}
}

// Call is one call of the table, for faults.
type Call struct {
	// Kind is feed, get, row or transact.
	Kind  string
	Table string
	Part  string
}

// NewRows returns an empty table without faults.
func NewRows() *Rows {
	none := func(context.Context, Call) error { return nil }
	return &Rows{
		Before:  none,
		After:   none,
		started: time.Now(),
		rows:    make(map[outside.Key]outside.Row),
		changed: make(chan struct{}),
	}
}

// Forget drops the history of changes.
func (r *Rows) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = nil
	r.forgotten = r.version
}

// Table returns the seam over the rows.
func (r *Rows) Table() outside.Table {
	return outside.Table{
		Feed:     r.feed,
		Get:      r.get,
		Row:      r.row,
		Transact: r.transact,
	}
}

// Write writes a row as the operator or a worker does; a nil value deletes it.
func (r *Rows) Write(key outside.Key, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	if value == nil {
		r.remove(key)
	} else {
		r.put(key, value)
	}
	r.wake()
}

func (r *Rows) feed(ctx context.Context, table string, after int64, wait time.Duration) (outside.Change, error) {
	call := Call{
		Kind:  "feed",
		Table: table,
	}
	if err := r.Before(ctx, call); err != nil {
		return outside.Change{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		change, changed, err := r.since(table, after)
		if err != nil || len(change.Rows) > 0 {
			return change, err
		}
		select {
		case <-ctx.Done():
			return change, &outside.UncertainError{
				Call:  "feed",
				Cause: ctx.Err(),
			}
		case <-deadline.C:
			return change, r.After(ctx, call)
		case <-changed:
		}
	}
}

func (r *Rows) since(table string, after int64) (outside.Change, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after < r.forgotten {
		return outside.Change{}, nil, &outside.HistoryGoneError{
			Table: table,
			After: after,
		}
	}
	change := outside.Change{
		Version: r.version,
	}
	for _, row := range r.history {
		if row.Key.Table == table && row.Version > after {
			change.Rows = append(change.Rows, row)
		}
	}
	return change, r.changed, nil
}

func (r *Rows) get(ctx context.Context, table, part, from string, limit int) (outside.Page, error) {
	call := Call{
		Kind:  "get",
		Table: table,
		Part:  part,
	}
	if err := r.Before(ctx, call); err != nil {
		return outside.Page{}, err
	}
	r.mu.Lock()
	page := outside.Page{
		Version: r.version,
		Now:     time.Since(r.started),
	}
	for key, row := range r.rows {
		if key.Table == table && key.Part == part && key.Name >= from {
			page.Rows = append(page.Rows, row)
		}
	}
	r.mu.Unlock()
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Key.Name < page.Rows[j].Key.Name })
	if limit > 0 && len(page.Rows) > limit {
		page.Rows = page.Rows[:limit]
		page.More = true
	}
	return page, r.After(ctx, call)
}

func (r *Rows) row(ctx context.Context, key outside.Key) (*outside.Row, error) {
	page, err := r.get(ctx, key.Table, key.Part, key.Name, 0)
	if err != nil || len(page.Rows) == 0 || page.Rows[0].Key != key {
		return nil, err
	}
	return &page.Rows[0], nil
}

func (r *Rows) transact(ctx context.Context, tx outside.Transaction) (outside.Receipt, error) {
	call := Call{
		Kind: "transact",
	}
	for _, put := range tx.Puts {
		call.Table = put.Key.Table
		call.Part = put.Key.Part
	}
	if err := r.Before(ctx, call); err != nil {
		return outside.Receipt{}, err
	}
	receipt, err := r.apply(tx)
	if err != nil {
		return receipt, err
	}
	return receipt, r.After(ctx, call)
}

// rejection returns why the platform never takes a transaction; empty if it does.
func rejection(tx outside.Transaction) string {
	bytes := 0
	parts := make(map[string]bool)
	for _, check := range tx.Checks {
		parts[check.Key.Part] = true
	}
	for _, key := range tx.Removes {
		parts[key.Part] = true
	}
	for _, put := range tx.Puts {
		parts[put.Key.Part] = true
		bytes += len(put.Value)
		if len(put.Value) > MaxRowBytes {
			return fmt.Sprintf("row %s/%s has %d bytes, at most %d", put.Key.Table, put.Key.Name, len(put.Value), MaxRowBytes)
		}
	}
	switch entries := len(tx.Checks) + len(tx.Puts) + len(tx.Removes); {
	case len(parts) > 1:
		return "more than one part"
	case entries > outside.MaxEntries:
		return fmt.Sprintf("%d entries, at most %d", entries, outside.MaxEntries)
	case bytes > maxTransactionBytes:
		return fmt.Sprintf("%d bytes, at most %d", bytes, maxTransactionBytes)
	default:
		return ""
	}
}

func (r *Rows) apply(tx outside.Transaction) (outside.Receipt, error) {
	if reason := rejection(tx); reason != "" {
		return outside.Receipt{}, &outside.NotDoneError{
			Call:   "transaction",
			Status: http.StatusBadRequest,
			Reason: reason,
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	conflict := false
	var stand []outside.Row
	for _, check := range tx.Checks {
		row, found := r.rows[check.Key]
		if found {
			stand = append(stand, row)
		}
		conflict = conflict || row.Version != check.Version
	}
	if conflict {
		return outside.Receipt{}, &outside.ConflictError{
			Rows: stand,
		}
	}
	r.version++
	for _, put := range tx.Puts {
		r.put(put.Key, put.Value)
	}
	for _, key := range tx.Removes {
		r.remove(key)
	}
	r.wake()
	return outside.Receipt{
		Version: r.version,
		Now:     time.Since(r.started),
	}, nil
}

// LargestRow returns the size in bytes of the largest row of a table, 0 for none. No fault holds it up.
func (r *Rows) LargestRow(table string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	largest := 0
	for key, row := range r.rows {
		if key.Table == table {
			largest = max(largest, len(row.Value))
		}
	}
	return largest
}

func (r *Rows) put(key outside.Key, value []byte) {
	row := outside.Row{
		Key:     key,
		Value:   append([]byte{}, value...),
		Version: r.version,
	}
	r.rows[key] = row
	r.history = append(r.history, row)
}

func (r *Rows) remove(key outside.Key) {
	if _, found := r.rows[key]; !found {
		return
	}
	delete(r.rows, key)
	r.history = append(r.history, outside.Row{
		Key:     key,
		Version: r.version,
		Gone:    true,
	})
}

func (r *Rows) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}
