// Package standin holds small stand-ins for the systems around lemonstream:
// the platform, endpoints and callers, each with faults that can be switched
// on. Nothing of the product imports it.
package standin

import (
	"sort"
	"strings"
	"sync"

	"lemonstream.dev/lemonstream/store"
)

// Table is an in-memory transactional table.
type Table struct {
	mu       sync.Mutex
	rows     map[string]store.Row
	revision int64
	writes   int64
	reads    int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		rows: make(map[string]store.Row),
	}
}

// Counts returns the number of transactions and of reads so far.
func (t *Table) Counts() (writes, reads int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writes, t.reads
}

// Read returns the row at key.
func (t *Table) Read(key string) store.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row, found := t.rows[key]
	if !found || len(row.Value) == 0 {
		return store.Row{
			Key:     key,
			Version: row.Version,
			Op:      row.Op,
		}
	}
	return row
}

// Scan returns the rows below prefix that were written after the version.
func (t *Table) Scan(prefix string, after int64) store.Page {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	page := store.Page{
		Rows:     []store.Row{},
		Revision: t.revision,
	}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Version < page.Rows[j].Version })
	return page
}

// Transact applies the transaction or returns a *store.ConflictError.
func (t *Table) Transact(tx store.Transaction) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	for _, check := range tx.Checks {
		row := t.rows[check.Key]
		if row.Version != check.Version {
			return 0, &store.ConflictError{
				Key:  check.Key,
				Want: check.Version,
				Have: row.Version,
				Op:   row.Op,
			}
		}
	}
	t.revision++
	for _, put := range tx.Puts {
		t.rows[put.Key] = store.Row{
			Key:     put.Key,
			Version: t.revision,
			Op:      tx.Op,
			Value:   put.Value,
		}
	}
	return t.revision, nil
}
