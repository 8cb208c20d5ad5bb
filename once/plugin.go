package once

import (
	"context"
	"log/slog"
	"net/netip"

	"go.uber.org/fx"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/settings"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
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
		fx.Provide(
			newHomes,
			newClaims,
		),
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

func newClaims(h *Homes, w *state.Watch, t *member.Transport, log *slog.Logger, self fleet.Self) *Claims {
	home := func(partition int) (netip.AddrPort, bool) {
		home, found := w.View().Homes[PartitionName(partition)]
		if !found || home.Holder == "" || home.Holder == self.Incarnation {
			return netip.AddrPort{}, false
		}
		address, err := netip.ParseAddrPort(home.Address)
		return address, err == nil
	}
	return NewClaims(h, home, t, log)
}

func newHomes(p store.Platform, w *state.Watch, peers *member.Peers, c clock.Clock, log *slog.Logger, self fleet.Self, d settings.Daemon) *Homes {
	outside := Outside{
		Row:   func(partition int) store.Row { return w.Row(RowKey(partition)) },
		Known: func() bool { return !w.FreshAt().IsZero() },
		Candidates: func() []string {
			candidates := []string{self.Incarnation}
			for _, heard := range peers.Heard() {
				candidates = append(candidates, heard.Hello.Incarnation)
			}
			return candidates
		},
		Commit:  p.Table.Commit,
		Objects: p.Objects,
		Refresh: w.Poke,
		Learn:   func(rows []store.Row) { _ = w.Offer(rows) },
		Tell:    peers.TellRows,
	}
	homes := NewHomes(outside, c, log, HomesOptions{
		Incarnation: self.Incarnation,
		Address:     self.Peers,
		Interval:    d.HomeInterval,
		Guards:      AllGuards(),
	})
	w.OnChange(homes.LookAgain)
	return homes
}
