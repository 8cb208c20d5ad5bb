package state

import (
	"context"
	"log/slog"
	"slices"
	"sort"
	"sync/atomic"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/ring"
	"lemonstream.dev/lemonstream/store"
)

// incomingCapacity is the number of batches of rows from peers and writers
// that may wait for the watch.
const incomingCapacity = 256

// waitMost bounds the wait for a view, waitPause is the pause between two
// looks.
const (
	waitMost  = time.Second
	waitPause = 2 * time.Millisecond
)

// Watch is the duty that keeps the view: it polls the table and the list,
// takes in rows from peers, and publishes a new view after each change.
type Watch struct {
	platform store.Platform
	clock    clock.Clock
	log      *slog.Logger
	interval time.Duration

	// cache and listed belong to the duty's goroutine.
	cache  *Cache
	listed []store.Listed

	view atomic.Pointer[View]
	rows atomic.Pointer[[]store.Row]

	// revision is that of the last scan: every row up to it is known.
	revision atomic.Int64

	// freshAt and listedAt are when the table and the list last answered, in
	// milliseconds since the Unix epoch; 0 before the first answer.
	freshAt  atomic.Int64
	listedAt atomic.Int64

	incoming *ring.Ring[[]store.Row]
	poke     chan struct{}

	// onChange is called by the duty after each new view; it must not block.
	onChange []func(*View)
}

// NewWatch returns a watch that polls every interval.
func NewWatch(p store.Platform, c clock.Clock, log *slog.Logger, interval time.Duration) *Watch {
	w := &Watch{
		platform: p,
		clock:    c,
		log:      log,
		interval: interval,
		cache:    NewCache(),
		incoming: ring.New[[]store.Row](incomingCapacity),
		poke:     make(chan struct{}, 1),
	}
	w.publish()
	return w
}

// FreshAt returns when the table last answered; zero before the first answer.
func (w *Watch) FreshAt() time.Time {
	return instant(w.freshAt.Load())
}

// ListedAt returns when the list was last read; zero before the first answer.
func (w *Watch) ListedAt() time.Time {
	return instant(w.listedAt.Load())
}

// Offer hands rows to the watch. A row that is refused because the ring is
// full comes again with the next poll.
func (w *Watch) Offer(rows []store.Row) error {
	return w.incoming.Push(rows)
}

// OnChange has f called after each new view. It must be called before Run.
func (w *Watch) OnChange(f func(*View)) {
	w.onChange = append(w.onChange, f)
}

// Poke makes the watch poll the table now.
func (w *Watch) Poke() {
	select {
	case w.poke <- struct{}{}:
	default:
	}
}

// RowsAfter returns the known rows with a version above the given one, in
// order of version.
func (w *Watch) RowsAfter(version int64) []store.Row {
	rows := *w.rows.Load()
	first := sort.Search(len(rows), func(i int) bool { return rows[i].Version > version })
	return rows[first:]
}

// Run polls until ctx ends: the table once in an interval, and the list as
// often as the configuration's bound on leaving endpoints asks for.
func (w *Watch) Run(ctx context.Context) error {
	w.poll(ctx)
	if w.FreshAt().IsZero() {
		w.restore(ctx)
	}
	table := time.NewTicker(w.interval)
	defer table.Stop()
	list := time.NewTicker(w.interval)
	defer list.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-table.C:
			w.publishIf(w.pollTable(ctx))
		case <-list.C:
			w.publishIf(w.pollList(ctx))
			list.Reset(w.listInterval())
		case <-w.poke:
			w.publishIf(w.pollTable(ctx))
		case <-w.incoming.Ready():
			w.takeIncoming()
		}
	}
}

// Revision returns the table's revision up to which every row is known.
func (w *Watch) Revision() int64 {
	return w.revision.Load()
}

// Row returns the newest known row at key; its Version is 0 where none is
// known.
func (w *Watch) Row(key string) store.Row {
	row, found := w.View().Rows[key]
	if !found {
		return store.Row{
			Key: key,
		}
	}
	return row
}

// View returns the newest view; it is never nil.
func (w *Watch) View() *View {
	return w.view.Load()
}

// Wait waits a moment for the view to fulfil the condition and reports whether
// it does.
func (w *Watch) Wait(ctx context.Context, condition func(*View) bool) bool {
	waiting, cancel := context.WithTimeout(ctx, waitMost)
	defer cancel()
	ticker := time.NewTicker(waitPause)
	defer ticker.Stop()
	for !condition(w.View()) {
		select {
		case <-waiting.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// listInterval returns the pause between two looks at the list: a third of the
// bound on leaving endpoints, so that a look may be lost.
func (w *Watch) listInterval() time.Duration {
	bound := w.View().Config.Routing.LeaveWithin / 3
	if bound <= 0 {
		return w.interval
	}
	return min(w.interval, bound)
}

func (w *Watch) poll(ctx context.Context) {
	changed := w.pollTable(ctx)
	changed = w.pollList(ctx) || changed
	w.publishIf(changed)
}

// pollList reads the list; it reports whether the view must be built anew.
func (w *Watch) pollList(ctx context.Context) bool {
	listed, err := w.platform.Instances.List(ctx)
	if err != nil {
		w.log.Debug("instance list not read", "error", err)
		return false
	}
	w.listedAt.Store(clock.Millis(w.clock.Now()))
	if slices.Equal(w.listed, listed) {
		return false
	}
	w.listed = listed
	return true
}

// pollTable reads the rows that changed; it reports whether the view
// must be built anew.
func (w *Watch) pollTable(ctx context.Context) bool {
	page, err := w.platform.Table.Scan(ctx, fleet.StatePrefix, w.cache.Revision())
	if err != nil {
		w.log.Debug("table not read", "error", err)
		return false
	}
	w.freshAt.Store(clock.Millis(w.clock.Now()))
	news := w.cache.MergePage(page)
	w.revision.Store(w.cache.Revision())
	return len(news) > 0
}

// publish builds the view and hands it out.
func (w *Watch) publish() {
	all := w.cache.All()
	view, err := BuildView(w.view.Load(), all, w.listed)
	if err != nil {
		w.log.Error("rows left as they were known before", "error", err)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Version < all[j].Version })
	w.rows.Store(&all)
	w.view.Store(view)
	for _, f := range w.onChange {
		f(view)
	}
}

// restore takes in the newest snapshot, for an entry that starts while the
// table is down. Rows of peers and of the table replace it as they come.
func (w *Watch) restore(ctx context.Context) {
	rows, err := LoadSnapshot(ctx, w.platform.Objects)
	if err != nil {
		w.log.Warn("table and snapshot not read; waiting for peers", "error", err)
		return
	}
	w.publishIf(len(w.cache.Merge(rows)) > 0)
}

func (w *Watch) publishIf(changed bool) {
	if changed {
		w.publish()
	}
}

func (w *Watch) takeIncoming() {
	news := 0
	for _, rows := range w.incoming.Drain() {
		news += len(w.cache.Merge(rows))
	}
	w.publishIf(news > 0)
}

func instant(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return clock.FromMillis(ms)
}
