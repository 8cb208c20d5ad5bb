package queue

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// maxRounds bounds the writes by which other entries may overtake one call.
	maxRounds = 16

	// maxViews bounds the queues that are remembered; all are read again beyond it.
	maxViews = 4096
)

// Book knows the placements of queues. It reads a placement when the queue is first used, and again
// once the store rejects a record because the placement has changed.
type Book struct {
	// Count counts an outcome under a metric name.
	Count func(name, outcome string)

	Clock clock.Clock
	Group *kernel.Group
	Log   *slog.Logger
	Table outside.Table

	mu    sync.Mutex
	views map[string]*view
}

// View is what an entry knows of a queue.
type View struct {
	Placement

	// Fence is what a write of a record of the queue requires at the current service.
	Fence shard.QueueFence
}

// view is the known placement of a queue. Only the holder of turn may use the other fields, but for
// those that say otherwise.
type view struct {
	queue string

	// opened is the placement under which jobs may be handed in; nil for none. Everybody may read it.
	opened atomic.Pointer[View]

	// turn holds one token, so that callers of one queue do not send the same calls side by side.
	turn chan struct{}

	// placement is as of the row of the given version, 0 for none. known says that it was read.
	placement Placement
	version   int64
	known     bool

	// fence replaces the versions in the row if it names the row's last service.
	fence        shard.QueueFence
	fenceService string

	// shown is the placement that Placement returns for configurations up to version shownAt. The book's
	// mu guards them.
	shown   Placement
	shownAt int64

	// nextPrune is when rows of former services are next looked for, prunePause the pause after that.
	// The book's mu guards them.
	nextPrune  time.Time
	prunePause time.Duration
}

// OvertakenError reports that a placement changed each time that it was to be written.
type OvertakenError struct {
	Queue string
}

// Error implements error.
func (e *OvertakenError) Error() string {
	return "the placement of queue " + e.Queue + " changes all the time"
}

// Opened returns what Open would return if that takes no call of the store.
func (b *Book) Opened(route catalog.Route, version int64) (View, bool) {
	v := b.view(route)
	opened := v.opened.Load()
	if opened == nil {
		return View{}, false
	}
	if _, changed := opened.Led(route, version); changed {
		return View{}, false
	}
	b.pruneIfDue(v, opened.Placement)
	return *opened, true
}

// Open returns the placement under which a job may be handed in: the queue is led to the route's
// service, unless a newer configuration has led it elsewhere, and no former service can take a job any
// more. From then on a job that has no rows at the former services is at none of them.
func (b *Book) Open(ctx context.Context, route catalog.Route, version int64) (View, error) {
	v, err := b.begin(ctx, route)
	if err != nil {
		return View{}, err
	}
	defer v.end()
	if !v.known {
		if err := b.read(ctx, v); err != nil {
			return View{}, err
		}
	}
	return b.settle(ctx, v, route, version)
}

// Reopen is Open after the store has rejected a record because a fence was raised.
func (b *Book) Reopen(ctx context.Context, route catalog.Route, version int64) (View, error) {
	v, err := b.begin(ctx, route)
	if err != nil {
		return View{}, err
	}
	defer v.end()
	service := route.Service
	if current, found := v.placement.Current(); found {
		service = current.Name
	}
	v.opened.Store(nil)
	v.known = false
	// The fences are read first: if the service is still the current one in a placement that is read
	// later, they were not raised to close it.
	fence, err := b.versionOf(ctx, owner.FenceKey(service, v.queue))
	if err != nil {
		return View{}, err
	}
	standby, err := b.versionOf(ctx, owner.StandbyFenceKey(service, v.queue))
	if err != nil {
		return View{}, err
	}
	if err := b.read(ctx, v); err != nil {
		return View{}, err
	}
	v.fenceService = service
	v.fence = shard.QueueFence{
		Queue:          v.queue,
		Version:        fence,
		StandbyVersion: standby,
	}
	return b.settle(ctx, v, route, version)
}

// Placement returns the placement of a queue as of the given configuration or a later one. It neither
// waits for those who change it nor makes them wait.
func (b *Book) Placement(ctx context.Context, route catalog.Route, version int64) (Placement, error) {
	v := b.view(route)
	b.mu.Lock()
	shown, shownAt := v.shown, v.shownAt
	b.mu.Unlock()
	if shownAt >= version && shownAt > 0 {
		return shown, nil
	}
	placement, err := b.Read(ctx, route)
	if err != nil {
		return Placement{}, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	v.shown = placement
	v.shownAt = version
	return placement, nil
}

// Read reads the placement of a queue from its row.
func (b *Book) Read(ctx context.Context, route catalog.Route) (Placement, error) {
	row, err := b.Table.Row(ctx, RowKey(Key(route.Host, route.Prefix)))
	if err != nil || row == nil {
		return Placement{}, err
	}
	return DecodePlacement(row.Value)
}

// view returns what is known of a queue.
func (b *Book) view(route catalog.Route) *view {
	key := Key(route.Host, route.Prefix)
	b.mu.Lock()
	defer b.mu.Unlock()
	v, found := b.views[key]
	if !found {
		if b.views == nil || len(b.views) >= maxViews {
			b.views = make(map[string]*view)
		}
		v = &view{
			queue: key,
			turn:  make(chan struct{}, 1),
		}
		b.views[key] = v
	}
	return v
}

// begin waits for the turn at a queue. The caller ends it.
func (b *Book) begin(ctx context.Context, route catalog.Route) (*view, error) {
	v := b.view(route)
	select {
	case v.turn <- struct{}{}:
		return v, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("waiting for the placement of queue %s: %w", v.queue, ctx.Err())
	}
}

// end passes the turn on.
func (v *view) end() {
	<-v.turn
}

// open returns what is required to hand in a job.
func (v *view) open() View {
	fence := v.fence
	current, _ := v.placement.Current()
	if v.fenceService != current.Name {
		fence = shard.QueueFence{
			Queue:          v.queue,
			Version:        current.Fence,
			StandbyVersion: current.StandbyFence,
		}
	}
	return View{
		Placement: v.placement,
		Fence:     fence,
	}
}

// read reads the row of a queue.
func (b *Book) read(ctx context.Context, v *view) error {
	row, err := b.Table.Row(ctx, RowKey(v.queue))
	if err != nil {
		return err
	}
	return v.apply(row)
}

// apply takes over a row, nil for none.
func (v *view) apply(row *outside.Row) error {
	v.opened.Store(nil)
	v.placement = Placement{}
	v.version = 0
	v.known = false
	if row != nil {
		placement, err := DecodePlacement(row.Value)
		if err != nil {
			return err
		}
		v.placement = placement
		v.version = row.Version
	}
	v.known = true
	return nil
}

func (b *Book) versionOf(ctx context.Context, key outside.Key) (int64, error) {
	row, err := b.Table.Row(ctx, key)
	if err != nil || row == nil {
		return 0, err
	}
	return row.Version, nil
}

// settle leads the queue to the service of a route and closes the former services, until the row says
// so. Other entries do the same.
func (b *Book) settle(ctx context.Context, v *view, route catalog.Route, version int64) (View, error) {
	for range maxRounds {
		next, changed := v.placement.Led(route, version)
		if !changed {
			if v.placement.isClosed() {
				opened := v.open()
				v.opened.Store(&opened)
				return opened, nil
			}
			var err error
			if next, err = b.closeFormer(ctx, v); err != nil {
				return View{}, err
			}
		}
		if err := b.write(ctx, v, next); err != nil {
			return View{}, err
		}
	}
	return View{}, &OvertakenError{
		Queue: v.queue,
	}
}

// closeFormer raises the fences of the former services that may still take jobs, and returns the
// placement that says so.
func (b *Book) closeFormer(ctx context.Context, v *view) (Placement, error) {
	next := v.placement
	for _, s := range v.placement.Former() {
		if s.Closed {
			continue
		}
		fence, err := b.raise(ctx, owner.FenceKey(s.Name, v.queue), s.Fence, v.version)
		if err != nil {
			return Placement{}, err
		}
		standby, err := b.raise(ctx, owner.StandbyFenceKey(s.Name, v.queue), s.StandbyFence, v.version)
		if err != nil {
			return Placement{}, err
		}
		next = next.closed(s.Name, fence, standby)
		b.Log.Info("queue closed at former service", "queue", v.queue, "service", s.Name, "fence", fence, "standby_fence", standby)
	}
	return next, nil
}

// raise writes the row of a fence, unless it was written after the given version of the store: then no
// write that requires an earlier version of it takes effect any more. known is the version that the row
// probably has. It returns the row's version.
func (b *Book) raise(ctx context.Context, key outside.Key, known, after int64) (int64, error) {
	for range maxRounds {
		receipt, err := b.Table.Transact(ctx, outside.Transaction{
			Checks: []outside.Check{{
				Key:     key,
				Version: known,
			}},
			Puts: []outside.Put{owner.FencePut(key)},
		})
		if err == nil {
			return receipt.Version, nil
		}
		var conflict *outside.ConflictError
		if !errors.As(err, &conflict) {
			return 0, err
		}
		row, _ := conflict.Find(key)
		if row.Version > after {
			return row.Version, nil
		}
		known = row.Version
	}
	return 0, &OvertakenError{
		Queue: key.Name,
	}
}

// write writes the row of a queue, or takes over the one that another entry has written meanwhile.
func (b *Book) write(ctx context.Context, v *view, next Placement) error {
	value, err := next.Encode()
	if err != nil {
		return err
	}
	key := RowKey(v.queue)
	receipt, err := b.Table.Transact(ctx, outside.Transaction{
		Checks: []outside.Check{{
			Key:     key,
			Version: v.version,
		}},
		Puts: []outside.Put{{
			Key:   key,
			Value: value,
		}},
	})
	var conflict *outside.ConflictError
	switch {
	case errors.As(err, &conflict):
		b.Count("queue_placement", "overtaken")
		row, found := conflict.Find(key)
		if !found {
			return v.apply(nil)
		}
		return v.apply(&row)
	case err != nil:
		// The row may have been written: the version that the next write requires is not known.
		v.opened.Store(nil)
		v.known = false
		return err
	}
	from, _ := v.placement.Current()
	to, _ := next.Current()
	if from.Name != to.Name {
		b.Log.Info("queue led to service", "queue", v.queue, "host", next.Host, "prefix", next.Prefix, "from", from.Name, "to", to.Name,
			"version", next.Version, "services", len(next.Services))
	}
	b.Count("queue_placement", "written")
	v.opened.Store(nil)
	v.placement = next
	v.version = receipt.Version
	return nil
}
