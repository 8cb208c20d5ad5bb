package state

import (
	"context"
	"log/slog"

	"go.uber.org/fx"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/lease"
	"lemonstream.dev/lemonstream/settings"
	"lemonstream.dev/lemonstream/store"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "state",
		Stage:   kernel.StageState,
		Options: options,
	})
}

func options() fx.Option {
	return fx.Options(
		fx.Provide(func(p store.Platform, c clock.Clock, log *slog.Logger, d settings.Daemon) *Watch {
			return NewWatch(p, c, log, d.PollInterval)
		}),
		fx.Provide(func(p store.Platform, c clock.Clock, self fleet.Self, d settings.Daemon) *lease.Holder {
			return lease.NewHolder(p.Table, c, self.Incarnation, d.LeaseLength)
		}),
		fx.Invoke(func(lc fx.Lifecycle, g *kernel.Group, w *Watch, p store.Platform, leases *lease.Holder, log *slog.Logger, d settings.Daemon) {
			keeper := NewKeeper(w, p.Objects, leases, log, d.SnapshotInterval)
			lc.Append(fx.StartHook(func(context.Context) {
				g.Go("watch", w.Run)
				g.Go("snapshots", keeper.Run)
			}))
			lc.Append(fx.StopHook(func(ctx context.Context) {
				if err := leases.Release(ctx); err != nil {
					log.Warn("leases not handed over; they lapse", "error", err)
				}
			}))
		}),
	)
}
