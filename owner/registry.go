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
	// registryPause is the time between two looks at the registrations: a
	// draining worker must not be given tasks for long, and workers write their
	// row every second or two.
	registryPause = 250 * time.Millisecond

	// relayedPause is that time where another entry tells the changes: it leaves out the
	// heartbeats, so that a look ends only with something new.
	relayedPause = 30 * time.Millisecond

	// registryWait is how long a look may wait for a change.
	registryWait = 750 * time.Millisecond

	// foreignMost bounds the rows of other writers that are remembered to log each once;
	// a deployment has some hundred workers.
	foreignMost = 1000
)

// Listing is what the registry knows of the workers of a service.
type Listing struct {
	Workers []outside.Registration

	// Regained is when the store was last regained; zero where it was never
	// away. Registrations that lapsed meanwhile come back soon after it.
	Regained time.Time
}

// Registry follows the workers' registrations while anybody watches.
type Registry struct {
	// Count counts the rows of other writers; set before use.
	Count func(name, outcome string)

	table  outside.Table
	clock  clock.Clock
	name   string
	decode func(id string, value []byte) (outside.Registration, error)
	log    *slog.Logger

	mu sync.Mutex

	// loaded says that all registrations were read and have been followed since, or can be
	// from version on, which is that of the read.
	loaded  bool
	version int64

	workers  map[string]registered
	watchers map[string]func(Listing)

	// foreign holds the keys of rows that no worker wrote, as logged, while they stand.
	foreign map[string]bool

	// away says that the last look failed; regained is when one succeeded
	// again.
	away     bool
	regained time.Time

	// wanted holds a token when somebody watches.
	wanted chan struct{}
}

// registered is a registration with the version of its row.
type registered struct {
	outside.Registration
	version int64
}

// NewRegistry returns a registry over the table of the given name.
func NewRegistry(table outside.Table, clock clock.Clock, name string, decode func(string, []byte) (outside.Registration, error), log *slog.Logger) *Registry {
	return &Registry{
		Count:    func(string, string) {},
		table:    table,
		clock:    clock,
		name:     name,
		decode:   decode,
		log:      log,
		workers:  make(map[string]registered),
		watchers: make(map[string]func(Listing)),
		foreign:  make(map[string]bool),
		wanted:   make(chan struct{}, 1),
	}
}

// Refresh reads every registration anew. An owner calls it once it has taken a
// service, so that it knows every worker that the owner before may have used.
func (r *Registry) Refresh(ctx context.Context) error {
	_, err := r.read(ctx)
	return err
}

// Run follows the table until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	version := int64(-1)
	for {
		if !r.watched() {
			version = -1
			r.reset()
			select {
			case <-ctx.Done():
				return nil
			case <-r.wanted:
			}
			continue
		}
		next, relayed, err := r.follow(ctx, version)
		if err != nil {
			r.setAway()
			r.log.Warn("registrations not read", "error", err.Error())
		} else {
			version = next
		}
		pause := registryPause
		if relayed {
			pause = relayedPause
		}
		if !clock.Sleep(ctx, pause) {
			return nil
		}
	}
}

// Watch calls changed with the service's registrations now, where they are
// known, and after each change, until the returned function is called.
func (r *Registry) Watch(service string, changed func(Listing)) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers[service] = changed
	if r.loaded {
		changed(r.of(service))
	}
	select {
	case r.wanted <- struct{}{}:
	default:
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.watchers, service)
	}
}

// follow takes in what has changed after a version, or all where that is below 0. It returns the
// version from which to go on, and whether another entry told the changes.
func (r *Registry) follow(ctx context.Context, version int64) (int64, bool, error) {
	if version < 0 {
		if next, read := r.refreshed(); read {
			return next, false, nil
		}
		next, err := r.read(ctx)
		return next, false, err
	}
	change, err := r.table.Feed(ctx, r.name, version, registryWait)
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
	r.noteRead(touched)
	for _, row := range change.Rows {
		r.apply(row, touched)
	}
	r.tell(touched)
	return change.Version, change.Relayed, nil
}

func (r *Registry) read(ctx context.Context) (int64, error) {
	rows, version, err := r.table.ReadAll(ctx, r.name, "")
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	touched := make(map[string]bool)
	for _, reg := range r.workers {
		touched[reg.Service] = true
	}
	r.workers = make(map[string]registered)
	standing := make(map[string]bool, len(rows))
	for _, row := range rows {
		standing[row.Key.Name] = true
		r.apply(row, touched)
	}
	maps.DeleteFunc(r.foreign, func(key string, _ bool) bool { return !standing[key] })
	for service := range r.watchers {
		touched[service] = true
	}
	r.loaded = true
	r.version = version
	r.noteRead(touched)
	r.tell(touched)
	return version, nil
}

// refreshed returns the version of a read that was made before anybody watched; false where there
// was none.
func (r *Registry) refreshed() (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, r.loaded
}

// apply takes in one row and marks the services whose list changed.
func (r *Registry) apply(row outside.Row, touched map[string]bool) {
	before, known := r.workers[row.Key.Name]
	if !row.Gone && row.Version < before.version {
		// A refresh has shown a newer row than this change.
		return
	}
	var reg outside.Registration
	sound := false
	if row.Gone {
		delete(r.foreign, row.Key.Name)
	} else {
		reg, sound = r.sound(row)
	}
	if !sound {
		// The row of another writer names no worker to use. What runs on one that stood
		// there before is looked at like that of any worker whose row is gone.
		if known {
			touched[before.Service] = true
			delete(r.workers, row.Key.Name)
		}
		return
	}
	r.workers[row.Key.Name] = registered{
		Registration: reg,
		version:      row.Version,
	}
	if !known || !before.Equal(reg) {
		touched[reg.Service] = true
		touched[before.Service] = true
	}
}

// sound reads a row; false where no worker wrote it. Each such key is logged once, until
// it holds a worker's row again: another writer may write it every second.
func (r *Registry) sound(row outside.Row) (outside.Registration, bool) {
	key := row.Key.Name
	reg, err := r.decode(key, row.Value)
	if err == nil {
		delete(r.foreign, key)
		return reg, true
	}
	r.Count("row_left_out", r.name)
	if !r.foreign[key] && len(r.foreign) < foreignMost {
		r.foreign[key] = true
		r.log.Warn("registration left out", "worker", key, "version", row.Version, "error", err.Error())
	}
	return reg, false
}

func (r *Registry) of(service string) Listing {
	l := Listing{
		Regained: r.regained,
	}
	for _, reg := range r.workers {
		if reg.Service == service {
			l.Workers = append(l.Workers, reg.Registration)
		}
	}
	return l
}

// setAway notes that the store could not be read.
func (r *Registry) setAway() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = true
}

// noteRead notes that the store was read. Every service whose workers are
// watched is told of a return, since it changes what a missing row means.
func (r *Registry) noteRead(touched map[string]bool) {
	if !r.away {
		return
	}
	r.away = false
	r.regained = r.clock.Now()
	r.log.Info("registrations read again", "workers", len(r.workers))
	for service := range r.watchers {
		touched[service] = true
	}
}

func (r *Registry) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded = false
}

func (r *Registry) tell(touched map[string]bool) {
	for service, changed := range r.watchers {
		if touched[service] {
			changed(r.of(service))
		}
	}
}

func (r *Registry) watched() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.watchers) > 0
}
