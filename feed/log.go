// Package feed lets entries follow the store's tables through one another: one read serves
// many. An entry that follows a table at the store keeps its latest changes and passes them on;
// another one asks it in place of the store.
//
// The store stays the only truth. A change carries its version, and nobody goes back to an older
// one. Whoever passes changes on says how long ago the store confirmed that there are no others;
// an entry that hears of no confirmation in time reads the store itself, so that no source can
// keep it from a change for longer than Reader.Fresh and one call.
package feed

import (
	"bytes"
	"fmt"
	"sort"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/outside"
)

const (
	// logMost bounds the changes of a table that are kept, and logBytesMost their values, but
	// for the newest one. Whoever is further behind reads the store.
	logMost      = 4096
	logBytesMost = 2 << 20
)

// Log holds the latest changes of a table, as read from the store.
type Log struct {
	// essence returns what matters of a row's value; nil stands for all of it, and for every
	// change. One that changes nothing that matters is passed on to nobody.
	essence func(value []byte) []byte

	mu sync.Mutex

	// essences holds by key what was last passed on; it is empty where essence is nil.
	essences map[outside.Key][]byte

	// rows are in order of version, all of them above floor and up to version. Some of a
	// table's changes are left out where nobody needs them.
	rows    []outside.Row
	floor   int64
	version int64

	// bytes is the size of the rows' values.
	bytes int

	// confirmed is when the store had nothing after version; zero before the first read.
	confirmed time.Time

	// news is closed once there is another change.
	news chan struct{}
}

// BusyError reports that an entry's link has no room for changes that are to be passed on.
type BusyError struct {
	Table string
}

// StaleError reports that an entry can't pass on the changes of a table: it does not follow it
// at the store, or has not heard from there lately.
type StaleError struct {
	Table string

	// Age is how long ago the store last confirmed what is known; 0 where it never did.
	Age time.Duration
}

// NewLog returns a log without changes, which leaves out those of nothing that matters; nil
// leaves out none.
func NewLog(essence func(value []byte) []byte) *Log {
	return &Log{
		essence:  essence,
		essences: make(map[outside.Key][]byte),
		news:     make(chan struct{}),
	}
}

// Error implements error.
func (e *BusyError) Error() string {
	return "no room on the link for changes of table " + e.Table
}

// Error implements error.
func (e *StaleError) Error() string {
	if e.Age == 0 {
		return fmt.Sprintf("table %s is not followed at the store", e.Table)
	}
	return fmt.Sprintf("table %s was last confirmed %v ago", e.Table, e.Age)
}

// Add takes in the changes after a version, as the store had them at the instant.
func (l *Log) Add(after int64, change outside.Change, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after > l.version || l.confirmed.IsZero() {
		// What came in between is not known.
		l.rows = nil
		l.bytes = 0
		clear(l.essences)
		l.floor = after
		l.version = after
	}
	if change.Version < l.version {
		return
	}
	before := len(l.rows)
	for _, row := range change.Rows {
		if row.Version > l.version && l.isNews(row) {
			l.rows = append(l.rows, row)
			l.bytes += len(row.Value)
		}
	}
	l.version = change.Version
	if at.After(l.confirmed) {
		l.confirmed = at
	}
	if len(l.rows) == before {
		return
	}
	l.trim()
	close(l.news)
	l.news = make(chan struct{})
}

// Reset forgets all changes, and when they were confirmed.
func (l *Log) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rows = nil
	l.bytes = 0
	clear(l.essences)
	l.floor = 0
	l.version = 0
	l.confirmed = time.Time{}
}

// trim forgets the oldest changes where too much is kept.
func (l *Log) trim() {
	over := 0
	for over < len(l.rows)-1 && (len(l.rows)-over > logMost || l.bytes > logBytesMost) {
		l.bytes -= len(l.rows[over].Value)
		over++
	}
	if over > 0 {
		l.floor = l.rows[over-1].Version
		l.rows = append([]outside.Row(nil), l.rows[over:]...)
	}
}

// isNews reports whether a row says something that matters and is not known.
func (l *Log) isNews(row outside.Row) bool {
	if l.essence == nil {
		return true
	}
	if row.Gone {
		delete(l.essences, row.Key)
		return true
	}
	essence := l.essence(row.Value)
	before, known := l.essences[row.Key]
	l.essences[row.Key] = essence
	return !known || !bytes.Equal(before, essence)
}

// After returns the changes after a version, the version up to which they are all, and when the
// store confirmed that. It reports false where some of them are not known. The channel is closed
// once there are more.
func (l *Log) After(version int64) (change outside.Change, confirmed time.Time, known bool, more <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := sort.Search(len(l.rows), func(i int) bool { return l.rows[i].Version > version })
	return outside.Change{
		Rows:    append([]outside.Row(nil), l.rows[first:]...),
		Version: max(version, l.version),
	}, l.confirmed, version >= l.floor, l.news
}
