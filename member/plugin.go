package member

import (
	"context"
	"errors"
	"log/slog"

	"go.uber.org/fx"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/settings"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "member",
		Stage:   kernel.StagePeers,
		Options: options,
	})
}

func options() fx.Option {
	return fx.Options(
		fx.Provide(
			newTransport,
			newPeers,
			func(p store.Platform, peers *Peers, c clock.Clock, log *slog.Logger, self fleet.Self) *Registrar {
				return NewRegistrar(p.Table, peers, c, log, self)
			},
		),
		fx.Invoke(start),
	)
}

func newPeers(self fleet.Self, t *Transport, w *state.Watch, c clock.Clock, g *kernel.Group, log *slog.Logger, d settings.Daemon) *Peers {
	return NewPeers(self, t, w, c, g, log, PeersOptions{
		Seeds:       d.Seeds,
		Interval:    d.TellInterval,
		SilentAfter: d.SilentAfter,
	})
}

func newTransport(g *kernel.Group, log *slog.Logger, d settings.Daemon) (*Transport, error) {
	keys, err := LoadKeys(d.PeerCert, d.PeerKey, d.PeerCA)
	if err != nil {
		return nil, err
	}
	return Listen(d.Peers, keys, g, log)
}

func start(lc fx.Lifecycle, g *kernel.Group, t *Transport, p *Peers, r *Registrar) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			g.Go("peer listener", t.Run)
			g.Go("peers", p.Run)
			g.Go("registrar", r.Run)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			leaving := r.Leave(ctx)
			p.Leave(ctx)
			closing := t.Close()
			g.Stop()
			return errors.Join(leaving, closing)
		},
	})
}
