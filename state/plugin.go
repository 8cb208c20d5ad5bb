package state

import (
	"context"
	"log/slog"

	"go.uber.org/fx"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/platform"
	"lemonstream.dev/lemonstream/settings"
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
		fx.Provide(func(p platform.Platform, c clock.Clock, log *slog.Logger, d settings.Daemon) *Watch {
			return NewWatch(p, c, log, d.PollInterval)
		}),
		fx.Invoke(func(lc fx.Lifecycle, g *kernel.Group, w *Watch) {
			lc.Append(fx.StartHook(func(context.Context) {
				g.Go("watch", w.Run)
			}))
		}),
	)
}
