package work

import (
	"context"
	"log/slog"
	"time"

	"go.uber.org/fx"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/lease"
	"lemonstream.dev/lemonstream/settings"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

// mostPause bounds the pause between two rounds, so that an urgent job is seen
// in time whatever the entry's other intervals are.
const mostPause = time.Second

// leaseLength is that of a pool's lease. It is long, because 52 busy pools renew
// theirs all the time; urgent jobs don't wait for it.
const leaseLength = 20 * time.Second

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "work",
		Stage:   kernel.StageDuties,
		Options: options,
	})
}

func options() fx.Option {
	return fx.Options(
		fx.Provide(func(p store.Platform, c clock.Clock) *Store { return NewStore(p.Table, c) }),
		fx.Invoke(func(lc fx.Lifecycle, g *kernel.Group, p store.Platform, self fleet.Self, w *state.Watch, c clock.Clock, log *slog.Logger, d settings.Daemon) {
			leases := lease.NewHolder(p.Table, c, self.Incarnation, leaseLength)
			duty := NewDuty(p, leases, w.View, c, log, min(d.PollInterval, mostPause))
			lc.Append(fx.StartHook(func() { g.Go("work", duty.Run) }))
			lc.Append(fx.StopHook(func(ctx context.Context) {
				if err := leases.Release(ctx); err != nil {
					log.Warn("leases of jobs not handed over; they lapse", "error", err)
				}
			}))
		}),
	)
}
