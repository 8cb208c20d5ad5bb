package catalog

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

// movedFor is how long a move of a route is remembered: callers send a job again
// for some seconds, and its own deadline is a few.
const movedFor = 60 * time.Second

// Holder holds the newest catalog. It never goes back to an older version.
type Holder struct {
	current atomic.Pointer[Catalog]
	clock   clock.Clock
	log     *slog.Logger

	// loaded is closed once a first version is in force.
	loaded chan struct{}

	mu sync.Mutex

	// moved holds, by the name of a route, its last move that was seen here.
	moved map[string]move
}

// move is the change of a route's service.
type move struct {
	from string
	seen time.Time
}

// NewHolder returns a holder with an empty catalog.
func NewHolder(clock clock.Clock, log *slog.Logger) *Holder {
	h := &Holder{
		clock:  clock,
		log:    log,
		loaded: make(chan struct{}),
		moved:  make(map[string]move),
	}
	h.current.Store(&Catalog{})
	return h
}

// Current returns the catalog in force; its version is 0 before the first.
func (h *Holder) Current() *Catalog {
	return h.current.Load()
}

// Loaded returns a channel that is closed once a first version is in force.
func (h *Holder) Loaded() <-chan struct{} {
	return h.loaded
}

// Moved returns the service that a route led to until a moment ago; false where it
// was not moved lately, as far as this process has seen.
func (h *Holder) Moved(route string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, found := h.moved[route]
	if !found || h.clock.Now().Sub(m.seen) > movedFor {
		return "", false
	}
	return m.from, true
}

// Offer puts a catalog in force if it is newer. It is called by one duty only.
func (h *Holder) Offer(next *Catalog) {
	before := h.current.Load()
	if next.Version <= before.Version {
		return
	}
	h.noteMoves(before, next)
	h.current.Store(next)
	if before.Version == 0 {
		close(h.loaded)
	}
	h.log.Info("configuration in force", "version", next.Version, "before", before.Version,
		"routes", len(next.Routes), "services", len(next.Services))
}

// noteMoves remembers the routes whose service changes, before the new catalog is
// in force.
func (h *Holder) noteMoves(before, next *Catalog) {
	services := make(map[string]string, len(before.Routes))
	for _, route := range before.Routes {
		services[route.Name] = route.Service
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for name, m := range h.moved {
		if now.Sub(m.seen) > movedFor {
			delete(h.moved, name)
		}
	}
	for _, route := range next.Routes {
		from, known := services[route.Name]
		if !known || from == route.Service {
			continue
		}
		h.moved[route.Name] = move{
			from: from,
			seen: now,
		}
		h.log.Info("route moved", "route", route.Name, "from", from, "to", route.Service, "version", next.Version)
	}
}
