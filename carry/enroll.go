package carry

import (
	"context"
	"log/slog"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/control"
	"lemonstream.dev/lemonstream/lease"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

// enrollMost bounds the instances written in one transaction.
const enrollMost = 50

// Enroller is the duty that writes rows for instances new on the platform's
// list.
type Enroller struct {
	store  *control.Store
	leases *lease.Holder
	view   func() *state.View
	log    *slog.Logger
	pause  time.Duration
}

// NewEnroller returns the duty, which looks at the list once in every pause.
func NewEnroller(store *control.Store, leases *lease.Holder, view func() *state.View, log *slog.Logger, pause time.Duration) *Enroller {
	return &Enroller{
		store:  store,
		leases: leases,
		view:   view,
		log:    log,
		pause:  pause,
	}
}

// Run enrolls until ctx ends.
func (e *Enroller) Run(ctx context.Context) error {
	return clock.Every(ctx, e.pause, e.round)
}

func (e *Enroller) round(ctx context.Context) {
	fresh := e.unknown()
	if len(fresh) == 0 {
		return
	}
	if _, held, err := e.leases.Hold(ctx, "enroll"); err != nil || !held {
		return
	}
	for pool, lines := range fresh {
		if err := e.store.Enroll(ctx, pool, lines[:min(len(lines), enrollMost)]); err != nil {
			e.log.Debug("instances not enrolled", "pool", pool, "error", err)
		}
	}
}

// unknown returns the listed instances without a row, by pool.
func (e *Enroller) unknown() map[string][]store.Listed {
	view := e.view()
	fresh := make(map[string][]store.Listed)
	for id, line := range view.Listed {
		if _, known := view.Instances[id]; known || line.State != store.ListedLive {
			continue
		}
		fresh[line.Pool] = append(fresh[line.Pool], line)
	}
	return fresh
}
