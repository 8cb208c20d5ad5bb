// Package state keeps an entry's copy of the table's watched rows. The copy
// only goes forward: each row's version grows, whichever way the row came in,
// so nothing that was once in force is ever replaced by something older.
package state

import (
	"sort"

	"lemonstream.dev/lemonstream/store"
)

// Cache is the copy of the watched rows. It is used by one goroutine.
type Cache struct {
	// rows maps a key to its newest known row; versions only grow.
	rows map[string]store.Row

	// revision is the table revision up to which every row is known from a
	// scan; it only grows.
	revision int64

	// newer decides whether candidate replaces current. It is a field so that
	// a test can show that the promise rests on it.
	newer func(current, candidate store.Row) bool
}

// NewCache returns an empty cache that only goes forward.
func NewCache() *Cache {
	return NewGuardedCache(Newer)
}

// NewGuardedCache returns an empty cache whose rows are replaced as newer
// says.
func NewGuardedCache(newer func(current, candidate store.Row) bool) *Cache {
	return &Cache{
		rows:     make(map[string]store.Row),
		revision: 0,
		newer:    newer,
	}
}

// Newer reports whether candidate was written after current.
func Newer(current, candidate store.Row) bool {
	return candidate.Version > current.Version
}

// All returns every row, sorted by key.
func (c *Cache) All() []store.Row {
	rows := make([]store.Row, 0, len(c.rows))
	for _, row := range c.rows {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// Get returns the row at key; its Version is 0 where none is known.
func (c *Cache) Get(key string) store.Row {
	return c.rows[key]
}

// Merge takes in rows from any source and returns those that were news.
func (c *Cache) Merge(rows []store.Row) []store.Row {
	var news []store.Row
	for _, row := range rows {
		if !c.newer(c.rows[row.Key], row) {
			continue
		}
		c.rows[row.Key] = row
		news = append(news, row)
	}
	return news
}

// MergePage takes in the page of a scan and moves the revision forward.
func (c *Cache) MergePage(page store.Page) []store.Row {
	news := c.Merge(page.Rows)
	c.revision = max(c.revision, page.Revision)
	return news
}

// Revision returns the table revision up to which all rows are known.
func (c *Cache) Revision() int64 {
	return c.revision
}
