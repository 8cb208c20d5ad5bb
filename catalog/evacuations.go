package catalog

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// Evacuations holds the availability zones that the operator has evacuated: nothing new is to
// start there until the request is taken back. What was last known holds while the operator's
// table can't be read.
type Evacuations struct {
	log *slog.Logger

	// zones is never changed once it is stored.
	zones atomic.Pointer[map[string]bool]

	// mu lets one change be made at a time.
	mu sync.Mutex
}

// NewEvacuations returns a holder of none.
func NewEvacuations(log *slog.Logger) *Evacuations {
	e := &Evacuations{
		log: log,
	}
	e.zones.Store(&map[string]bool{})
	return e
}

// Has reports whether a zone is evacuated.
func (e *Evacuations) Has(zone string) bool {
	zones := *e.zones.Load()
	return len(zones) > 0 && zones[zone]
}

// Replace takes in all evacuated zones, as a read of the whole table shows them.
func (e *Evacuations) Replace(zones []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := make(map[string]bool, len(zones))
	for _, zone := range zones {
		next[zone] = true
	}
	e.put(next)
}

// Set takes in whether one zone is evacuated.
func (e *Evacuations) Set(zone string, evacuated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := maps.Clone(*e.zones.Load())
	if evacuated {
		next[zone] = true
	} else {
		delete(next, zone)
	}
	e.put(next)
}

// Zones returns the evacuated zones, sorted.
func (e *Evacuations) Zones() []string {
	return slices.Sorted(maps.Keys(*e.zones.Load()))
}

// put makes a set the one that holds, and logs what changes.
func (e *Evacuations) put(next map[string]bool) {
	before := *e.zones.Load()
	e.zones.Store(&next)
	for zone := range next {
		if !before[zone] {
			e.log.Info("zone evacuated", "zone", zone, "evacuated", len(next))
		}
	}
	for zone := range before {
		if !next[zone] {
			e.log.Info("zone no longer evacuated", "zone", zone, "evacuated", len(next))
		}
	}
}
