package once

import (
	"context"
	"log/slog"

	"go.uber.org/fx"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/platform"
	"lemonstream.dev/lemonstream/settings"
	"lemonstream.dev/lemonstream/state"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "once",
		Stage:   kernel.StageDuties,
		Options: options,
	})
}

func options() fx.Option {
	return fx.Options(
		fx.Provide(newHomes),
		fx.Invoke(func(lc fx.Lifecycle, g *kernel.Group, h *Homes, log *slog.Logger) {
			lc.Append(fx.Hook{
				OnStart: func(context.Context) error {
					g.Go("homes", h.Run)
					return nil
				},
				OnStop: func(ctx context.Context) error {
					if err := h.HandOver(ctx); err != nil {
						log.Warn("homes not handed over; their keys are refused until their ranges end", "error", err)
					}
					return nil
				},
			})
		}),
	)
}

func newHomes(p platform.Platform, w *state.Watch, t *member.Transport, peers *member.Peers, c clock.Clock, log *slog.Logger, self fleet.Self, d settings.Daemon) *Homes {
	return NewHomes(p, w, t, peers, c, log, HomesOptions{
		Incarnation: self.Incarnation,
		Address:     self.Peers,
		Interval:    d.HomeInterval,
	})
}
