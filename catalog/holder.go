package catalog

import (
	"log/slog"
	"sync/atomic"
)

// Holder holds the newest catalog. It never goes back to an older version.
type Holder struct {
	current atomic.Pointer[Catalog]
	log     *slog.Logger

	// loaded is closed once a first version is in force.
	loaded chan struct{}
}

// NewHolder returns a holder with an empty catalog.
func NewHolder(log *slog.Logger) *Holder {
	h := &Holder{
		log:    log,
		loaded: make(chan struct{}),
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

// Offer puts a catalog in force if it is newer. It is called by one duty only.
func (h *Holder) Offer(next *Catalog) {
	before := h.current.Load()
	if next.Version <= before.Version {
		return
	}
	h.current.Store(next)
	if before.Version == 0 {
		close(h.loaded)
	}
	h.log.Info("configuration in force", "version", next.Version, "before", before.Version,
		"routes", len(next.Routes), "services", len(next.Services))
}
