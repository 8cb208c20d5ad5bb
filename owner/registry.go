package owner

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// registryInterval is the time between two reads of the registrations. It is short
	// because a draining worker must soon stop receiving tasks; workers write their row every
	// second or two.
	registryInterval = 250 * time.Millisecond

	// relayedInterval replaces registryInterval if another entry relays the changes. That
	// entry leaves out the heartbeats, so that a read ends only when something has changed.
	relayedInterval = 30 * time.Millisecond

	// registryFeedWait is how long a read may wait for a change.
	registryFeedWait = 750 * time.Millisecond

	// readNotifyInterval is the minimum time between two notifications of reads without a
	// change. Relayed reads end more often.
	readNotifyInterval = 500 * time.Millisecond

	// maxForeignRows is the maximum number of rows of other writers that are remembered in
	// order to log each once. A deployment has a few hundred workers.
	maxForeignRows = 1000
)

// Listing holds the registered workers of a service.
type Listing struct {
	Workers []outside.Registration

	// Regained is when the store last became available again, or zero if it was never
	// unavailable. Registrations that lapsed meanwhile come back soon after.
	Regained time.Time
}

// Watcher is told of the registrations of a service.
type Watcher struct {
	// Changed is called with the registrations after each change.
	Changed func(Listing)

	// Read is called after reads without a change, at most once in readNotifyInterval.
	Read func()
}

// Registry tracks the registrations of workers while it has watchers.
type Registry struct {
	// Count counts the rows of other writers. It must be set before use.
	Count func(name, outcome string)

	table  outside.Table
	clock  clock.Clock
	name   string
	decode func(id string, value []byte) (outside.Registration, error)
	log    *slog.Logger

	mu sync.Mutex

	// loaded reports whether all registrations have been read, and their changes have been
	// followed since or can be followed from version. version is that of the read.
	loaded  bool
	version int64

	workers  map[string]registrationRow
	watchers map[string]Watcher

	// reading counts the reads under way. learned holds the changes that were applied meanwhile: the
	// pages of a read are older, and would undo them.
	reading int
	learned []outside.Row

	// readNotifiedAt is when the watchers were last told that the registrations were read.
	readNotifiedAt time.Time

	// foreign holds the keys of rows that were not written by a worker and have been logged,
	// as long as these rows are stored.
	foreign map[string]bool

	// unavailable reports whether the last read failed. regainedAt is when a read last
	// succeeded after a failure.
	unavailable bool
	regainedAt  time.Time

	// watchAdded holds a token after a watcher was added.
	watchAdded chan struct{}
}

// registrationRow is a registration with the version of its row.
type registrationRow struct {
	outside.Registration
	version int64
}

// NewRegistry returns a registry of the rows in the table of the given name.
func NewRegistry(table outside.Table, clock clock.Clock, name string, decode func(string, []byte) (outside.Registration, error), log *slog.Logger) *Registry {
	return &Registry{
		Count:      func(string, string) {},
		table:      table,
		clock:      clock,
		name:       name,
		decode:     decode,
		log:        log,
		workers:    make(map[string]registrationRow),
		watchers:   make(map[string]Watcher),
		foreign:    make(map[string]bool),
		watchAdded: make(chan struct{}, 1),
	}
}

// Refresh reads all registrations again. An owner calls it once it has claimed a service, so
// that it knows every worker that the previous owner may have used.
func (r *Registry) Refresh(ctx context.Context) error {
	_, err := r.read(ctx)
	return err
}

// Run follows the table until ctx ends. It pauses while there is no watcher.
func (r *Registry) Run(ctx context.Context) error {
	version := int64(-1)
	for {
		if !r.hasWatchers() {
			version = -1
			r.reset()
			select {
			case <-ctx.Done():
				return nil
			case <-r.watchAdded:
			}
			continue
		}
		next, relayed, err := r.follow(ctx, version)
		if err != nil {
			r.markUnavailable()
			r.log.Warn("failed to read registrations", "error", err.Error())
		} else {
			version = next
		}
		pause := registryInterval
		if relayed {
			pause = relayedInterval
		}
		if !clock.Sleep(ctx, pause) {
			return nil
		}
	}
}

// Watch tells a watcher of the service's registrations until the returned function is called. It
// also calls Changed immediately if the registrations are known.
func (r *Registry) Watch(service string, watcher Watcher) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers[service] = watcher
	if r.loaded {
		watcher.Changed(r.listing(service))
	}
	select {
	case r.watchAdded <- struct{}{}:
	default:
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.watchers, service)
	}
}

// follow applies the changes after a version, or reads all registrations if the version is
// negative. It returns the version to continue from and whether another entry relayed the
// changes.
func (r *Registry) follow(ctx context.Context, version int64) (int64, bool, error) {
	if version < 0 {
		if next, read := r.loadedVersion(); read {
			return next, false, nil
		}
		next, err := r.read(ctx)
		return next, false, err
	}
	change, err := r.table.Feed(ctx, r.name, version, registryFeedWait)
	var gone *outside.HistoryGoneError
	if errors.As(err, &gone) {
		next, err := r.read(ctx)
		return next, false, err
	}
	if err != nil {
		return 0, false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	touched := make(map[string]bool)
	r.markAvailable(touched)
	for _, row := range change.Rows {
		r.apply(row, touched)
	}
	if r.reading > 0 {
		r.learned = append(r.learned, change.Rows...)
	}
	r.notify(touched)
	return change.Version, change.Relayed, nil
}

func (r *Registry) read(ctx context.Context) (int64, error) {
	r.mu.Lock()
	r.reading++
	r.mu.Unlock()
	rows, version, err := r.table.ReadAll(ctx, r.name, "")
	r.mu.Lock()
	defer r.mu.Unlock()
	learned := r.learned
	r.reading--
	if r.reading == 0 {
		r.learned = nil
	}
	if err != nil {
		return 0, err
	}
	touched := make(map[string]bool)
	for _, reg := range r.workers {
		touched[reg.Service] = true
	}
	r.workers = make(map[string]registrationRow)
	standing := make(map[string]bool, len(rows))
	for _, row := range rows {
		standing[row.Key.Name] = true
		r.apply(row, touched)
	}
	for _, row := range learned {
		if row.Version >= r.workers[row.Key.Name].version {
			r.apply(row, touched)
		}
	}
	maps.DeleteFunc(r.foreign, func(key string, _ bool) bool { return !standing[key] })
	for service := range r.watchers {
		touched[service] = true
	}
	r.loaded = true
	r.version = version
	r.markAvailable(touched)
	r.notify(touched)
	return version, nil
}

// loadedVersion returns the version of a read that was made before there was a watcher. It
// returns false if there was none.
func (r *Registry) loadedVersion() (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, r.loaded
}

// apply applies one row and adds the services whose listing changed to touched.
func (r *Registry) apply(row outside.Row, touched map[string]bool) {
	before, known := r.workers[row.Key.Name]
	if !row.Gone && row.Version < before.version {
		// Refresh has read a newer row than this change.
		return
	}
	var reg outside.Registration
	validRow := false
	if row.Gone {
		delete(r.foreign, row.Key.Name)
	} else {
		reg, validRow = r.validRow(row)
	}
	if !validRow {
		// A row of another writer does not name a usable worker. If it replaced the row of
		// a worker, that worker's runs are handled as for any worker whose row is gone.
		if known {
			touched[before.Service] = true
			delete(r.workers, row.Key.Name)
		}
		return
	}
	r.workers[row.Key.Name] = registrationRow{
		Registration: reg,
		version:      row.Version,
	}
	if !known || !before.Equal(reg) {
		touched[reg.Service] = true
		touched[before.Service] = true
	}
}

// validRow decodes a row. It returns false if the row was not written by a worker. Each such
// key is logged once until it holds a worker's row again, because another writer may write it
// every second.
func (r *Registry) validRow(row outside.Row) (outside.Registration, bool) {
	key := row.Key.Name
	reg, err := r.decode(key, row.Value)
	if err == nil {
		delete(r.foreign, key)
		return reg, true
	}
	r.Count("row_left_out", r.name)
	if !r.foreign[key] && len(r.foreign) < maxForeignRows {
		r.foreign[key] = true
		r.log.Warn("registration left out", "worker", key, "version", row.Version, "error", err.Error())
	}
	return reg, false
}

func (r *Registry) listing(service string) Listing {
	l := Listing{
		Regained: r.regainedAt,
	}
	for _, reg := range r.workers {
		if reg.Service == service {
			l.Workers = append(l.Workers, reg.Registration)
		}
	}
	return l
}

// markUnavailable records that the store could not be read.
func (r *Registry) markUnavailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailable = true
}

// markAvailable records that the store was read. If the store was unavailable before, it adds
// all watched services to touched, because the return changes the meaning of a missing row.
func (r *Registry) markAvailable(touched map[string]bool) {
	if !r.unavailable {
		return
	}
	r.unavailable = false
	r.regainedAt = r.clock.Now()
	r.log.Info("registrations readable again", "workers", len(r.workers))
	for service := range r.watchers {
		touched[service] = true
	}
}

func (r *Registry) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded = false
}

// notify tells the watchers of the services in touched that their registrations have changed, and
// the others that they were read.
func (r *Registry) notify(touched map[string]bool) {
	now := r.clock.Now()
	due := now.Sub(r.readNotifiedAt) >= readNotifyInterval
	if due {
		r.readNotifiedAt = now
	}
	for service, watcher := range r.watchers {
		switch {
		case touched[service]:
			watcher.Changed(r.listing(service))
		case due && watcher.Read != nil:
			watcher.Read()
		}
	}
}

func (r *Registry) hasWatchers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.watchers) > 0
}
