package feed

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// avoidFor is for how long a source is not asked again that could not tell what is new;
	// up to as much again is added, so that not all come back to it at one moment.
	avoidFor = 2 * time.Second

	// auditPause is the mean time between two reads of the store by an entry that is told of
	// all changes: they show whether its source leaves some out.
	auditPause = 30 * time.Second

	// heldFrom is from when on an answer with changes counts as held: what it says of the time
	// before it is too old to be passed on.
	heldFrom = 100 * time.Millisecond

	// askedFor is for how long after a question an entry counts as a source.
	askedFor = 5 * time.Second

	// holdMost bounds how long a question for changes is held.
	holdMost = 2 * time.Second
)

// Outcomes of looks for changes, for the counter.
const (
	countReads   = "feed_reads"
	outcomeAudit = "audit"
	outcomeOwn   = "store"
	outcomeTold  = "source"
	outcomeStale = "source_failed"
)

// Passed is what one entry passes on to another.
type Passed struct {
	Rows    []outside.Row
	Version int64

	// Age is how long before the answer the store confirmed that these are all changes up to
	// then, Held for how long the question was held.
	Age  time.Duration
	Held time.Duration
}

// Options is what a reader works with.
type Options struct {
	// Table is the store.
	Table outside.Table

	// Sources returns the entries that follow a table at the store; none where this entry is
	// one of them, or is to read the store itself.
	Sources func(table string) []netip.AddrPort

	// Ask asks a source for the changes after a version; it holds the question for the given
	// time at the most. A *outside.HistoryGoneError says that the source is up to date and
	// does not know changes that old, a *BusyError that it has no room to tell them.
	Ask func(ctx context.Context, to netip.AddrPort, table string, after int64, wait time.Duration) (Passed, error)

	// Heard is called when a source has told what the store confirmed a moment ago.
	Heard func()

	// Essence holds, by table, what returns the part of a row's value that matters: a change
	// of the rest is not passed on. Tables without it pass on every change.
	Essence map[string]func(value []byte) []byte

	// Wait is how long a source may hold a question. Fresh bounds how long before its answer
	// arrived the store must have confirmed it; Lag holds what is added for tables that may
	// be older.
	Wait  time.Duration
	Fresh time.Duration
	Lag   map[string]time.Duration

	// Self tells this entry apart, so that entries choose different sources.
	Self string

	Clock clock.Clock
	Count func(name, outcome string)
	Log   *slog.Logger
}

// Reader follows tables through other entries, as far as there are some that follow them at the
// store. Load pattern: hundreds of entries follow a few tables that change every few seconds,
// and each of them would ask the store once a second for each table.
type Reader struct {
	Options

	mu sync.Mutex

	// logs holds the latest changes of each table that was read at the store.
	logs map[string]*Log

	// avoided holds until when a source is not asked, audits when a table is next read at
	// the store all the same.
	avoided map[netip.AddrPort]time.Time
	audits  map[string]time.Time

	// asked holds when another entry last asked for a table, unconfirmed the tables whose
	// last read showed a change after it was held.
	asked       map[string]time.Time
	unconfirmed map[string]bool
}

// NewReader returns a reader that has read nothing.
func NewReader(options Options) *Reader {
	return &Reader{
		Options:     options,
		logs:        make(map[string]*Log),
		avoided:     make(map[netip.AddrPort]time.Time),
		audits:      make(map[string]time.Time),
		asked:       make(map[string]time.Time),
		unconfirmed: make(map[string]bool),
	}
}

// Shared returns the store's table with changes of the given tables read as Reader does.
func (r *Reader) Shared(tables ...string) outside.Table {
	shared := r.Table
	shared.Feed = func(ctx context.Context, table string, after int64, wait time.Duration) (outside.Change, error) {
		if !slices.Contains(tables, table) {
			return r.Table.Feed(ctx, table, after, wait)
		}
		return r.Feed(ctx, table, after, wait)
	}
	return shared
}

// Feed waits for changes of a table after a version, at most for wait; see outside.Table.
func (r *Reader) Feed(ctx context.Context, table string, after int64, wait time.Duration) (outside.Change, error) {
	source, found := r.choose(table)
	if !found {
		r.Count(countReads, outcomeOwn)
		return r.read(ctx, table, after, wait)
	}
	if r.auditDue(table) {
		return r.audit(ctx, source, table, after)
	}
	change, err := r.ask(ctx, source, table, after, min(wait, r.Wait))
	if err == nil {
		r.Count(countReads, outcomeTold)
		return change, nil
	}
	r.Count(countReads, outcomeStale)
	// The time for waiting is over.
	return r.read(ctx, table, after, 0)
}

// LogOf returns the latest changes of a table that this entry has read at the store.
func (r *Reader) LogOf(table string) *Log {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.logs[table] == nil {
		r.logs[table] = NewLog(r.Essence[table])
	}
	return r.logs[table]
}

// Pass answers another entry: it waits for changes after a version, at most for wait. Its errors
// are *StaleError and *outside.HistoryGoneError.
func (r *Reader) Pass(ctx context.Context, table string, after int64, wait time.Duration) (Passed, error) {
	began := r.Clock.Now()
	r.noteAsked(table, began)
	log := r.LogOf(table)
	change, confirmed, known, more := log.After(after)
	switch age := began.Sub(confirmed); {
	case confirmed.IsZero():
		return Passed{}, &StaleError{
			Table: table,
		}
	case age > r.freshFor(table):
		return Passed{}, &StaleError{
			Table: table,
			Age:   age,
		}
	case !known:
		return Passed{}, &outside.HistoryGoneError{
			Table: table,
			After: after,
		}
	}
	if len(change.Rows) == 0 {
		timer := time.NewTimer(min(wait, holdMost))
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return Passed{}, ctx.Err()
		case <-more:
		case <-timer.C:
		}
		change, confirmed, known, _ = log.After(after)
		if !known {
			return Passed{}, &outside.HistoryGoneError{
				Table: table,
				After: after,
			}
		}
	}
	now := r.Clock.Now()
	return Passed{
		Rows:    change.Rows,
		Version: change.Version,
		Age:     now.Sub(confirmed),
		Held:    now.Sub(began),
	}, nil
}

// ask asks a source. One that can't tell what is new is avoided for a while.
func (r *Reader) ask(ctx context.Context, source netip.AddrPort, table string, after int64, wait time.Duration) (outside.Change, error) {
	began := r.Clock.Now()
	passed, err := r.Ask(ctx, source, table, after, wait)
	now := r.Clock.Now()
	var gone *outside.HistoryGoneError
	var busy *BusyError
	if errors.As(err, &gone) || errors.As(err, &busy) {
		// These changes are read from the store once.
		return outside.Change{}, err
	}
	// Whatever the answer did not spend being held, it was on its way or waited for a
	// processor, and the store may have changed meanwhile.
	age := passed.Age + now.Sub(began) - passed.Held
	if err == nil && age > r.freshFor(table) {
		err = &StaleError{
			Table: table,
			Age:   age,
		}
	}
	if err != nil {
		r.avoid(source, now)
		if ctx.Err() == nil {
			r.Log.Info("changes not told", "table", table, "source", source.String(), "after", after, "error", err.Error())
		}
		return outside.Change{}, err
	}
	if age <= r.Fresh {
		r.Heard()
	}
	return outside.Change{
		Rows:    passed.Rows,
		Version: max(after, passed.Version),
		Relayed: true,

		Confirmed: now.Add(-age),
	}, nil
}

// freshFor returns how old what is told of a table may be.
func (r *Reader) freshFor(table string) time.Duration {
	return r.Fresh + r.Lag[table]
}

// read reads the store and keeps what has changed for others.
func (r *Reader) read(ctx context.Context, table string, after int64, wait time.Duration) (outside.Change, error) {
	if r.isUnconfirmed(table) {
		wait = 0
	}
	sent := r.Clock.Now()
	change, err := r.Table.Feed(ctx, table, after, wait)
	var gone *outside.HistoryGoneError
	if errors.As(err, &gone) {
		// The version of the log may be none of the store's.
		r.LogOf(table).Reset()
	}
	if err != nil {
		return change, err
	}
	answered := r.Clock.Now()
	change.Confirmed = ConfirmedAt(change, sent, answered, wait)
	r.LogOf(table).Add(after, change, change.Confirmed)
	r.noteRead(table, len(change.Rows) > 0 && answered.Sub(sent) >= heldFrom)
	return change, nil
}

// isUnconfirmed reports whether others wait to hear that a change was the last one: the next
// read is not to be held.
func (r *Reader) isUnconfirmed(table string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unconfirmed[table] && r.Clock.Now().Sub(r.asked[table]) < askedFor
}

func (r *Reader) noteRead(table string, unconfirmed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unconfirmed[table] = unconfirmed
}

func (r *Reader) noteAsked(table string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked[table] = now
}

// audit reads the store although a source tells of all changes, and logs what it has not told
// yet.
func (r *Reader) audit(ctx context.Context, source netip.AddrPort, table string, after int64) (outside.Change, error) {
	r.Count(countReads, outcomeAudit)
	sent := r.Clock.Now()
	change, err := r.Table.Feed(ctx, table, after, 0)
	change.Confirmed = sent
	if err == nil && len(change.Rows) > 0 {
		r.Log.Info("changes not told yet", "table", table, "source", source.String(), "after", after, "rows", len(change.Rows))
	}
	return change, err
}

// auditDue reports whether a table is to be read at the store now, and plans the next time.
func (r *Reader) auditDue(table string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	at, planned := r.audits[table]
	if planned && now.Before(at) {
		return false
	}
	r.audits[table] = now.Add(auditPause/2 + rand.N(auditPause))
	return planned
}

// avoid has a source not asked for a while.
func (r *Reader) avoid(source netip.AddrPort, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, until := range r.avoided {
		if now.After(until) {
			delete(r.avoided, other)
		}
	}
	r.avoided[source] = now.Add(avoidFor + rand.N(avoidFor))
}

// choose returns the source to ask for a table; false where there is none. Each entry has an
// order of its own, so that they spread over the sources and stay with theirs.
func (r *Reader) choose(table string) (netip.AddrPort, bool) {
	sources := r.Sources(table)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	var best netip.AddrPort
	most := uint64(0)
	for _, source := range sources {
		if now.Before(r.avoided[source]) {
			continue
		}
		weight := xxhash.Sum64String(r.Self + "\x00" + source.String())
		if !best.IsValid() || weight > most {
			best = source
			most = weight
		}
	}
	return best, best.IsValid()
}

// ConfirmedAt returns when the store certainly had no other changes than those that a read
// returned, which was sent and answered at the given instants. The store holds one without a
// change for the whole wait.
func ConfirmedAt(change outside.Change, sent, answered time.Time, wait time.Duration) time.Time {
	if len(change.Rows) > 0 {
		return sent
	}
	if held := sent.Add(wait); held.Before(answered) {
		return held
	}
	return answered
}
