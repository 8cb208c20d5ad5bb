package entry

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"go.uber.org/fx"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/conns"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/forward"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/once"
	"lemonstream.dev/lemonstream/settings"
	"lemonstream.dev/lemonstream/state"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "entry-state",
		Stage:   kernel.StageDuties,
		Options: stateOptions,
	})
	kernel.Register(kernel.Plugin{
		Name:    "entry",
		Stage:   kernel.StageCallers,
		Options: serverOptions,
	})
}

// copyBuffer is what is held of a body that is passed on, beside what is buffered, in bytes.
const copyBuffer = 64 << 10

// boundOptions returns what the connections of callers may hold.
func boundOptions(d settings.Daemon, log *slog.Logger, counts *conns.Counts) conns.BoundOptions {
	return conns.BoundOptions{
		Name:        "callers",
		Bytes:       d.ConnMemory,
		HeaderBytes: func() int { return int(d.MaxHeader) },
		HeaderLines: func() int { return d.MaxHeaderLines },
		BodyHeld:    d.BufferBody + copyBuffer,
		Count:       counts.Add,
		Log:         log,
	}
}

func newHandler(s *Services, o *once.Claims, r *Readiness, c clock.Clock, log *slog.Logger, d settings.Daemon) *Handler {
	claims := Claims{
		Claim:   o.Claim,
		Release: o.Release,
	}
	return NewHandler(s, claims, c, log, Limits{
		BufferBody: d.BufferBody,
		MaxBody:    d.MaxBody,
	}, AllGuards(), r.Open)
}

func newServices(w *state.Watch, p *member.Peers, c clock.Clock, d settings.Daemon) *Services {
	services := NewServices(c, ServicesOptions{
		QueueLength: d.QueueLength,
		Entries:     d.Entries,
		TakesWork:   TakesWork,
		NewSender:   forward.NewSender,
	})
	w.OnChange(services.Update)
	p.Contribute(func(hello *member.Hello) {
		view := w.View()
		hello.Held = services.Held(view)
		hello.Suspects = services.Suspects()
	})
	return services
}

func serverOptions() fx.Option {
	return fx.Invoke(func(lc fx.Lifecycle, g *kernel.Group, h *Handler, c clock.Clock, r *Readiness, log *slog.Logger, d settings.Daemon, counts *conns.Counts) {
		server := NewServer(h, c, ServerOptions{
			Address:    d.Callers,
			MaxCallers: d.MaxCallers,
			Bound:      boundOptions(d, log, counts),
		})
		lc.Append(fx.Hook{
			OnStart: func(context.Context) error {
				if err := server.Listen(); err != nil {
					return err
				}
				g.Go("callers", server.Serve)
				return nil
			},
			OnStop: func(ctx context.Context) error {
				return stopServer(ctx, server, h, r, log, d.StopTimeout)
			},
		})
	})
}

func stateOptions() fx.Option {
	return fx.Options(
		fx.Provide(
			newServices,
			newHandler,
			NewReadiness,
			conns.NewCounts,
		),
		fx.Invoke(func(lc fx.Lifecycle, g *kernel.Group, s *Services, w *state.Watch, p *member.Peers, c clock.Clock, self fleet.Self, d settings.Daemon) {
			shares := NewShares(s, w, p, c, self.ID, d.TellInterval)
			p.Contribute(func(hello *member.Hello) { hello.Demands = shares.Told() })
			lc.Append(fx.StartHook(func() { g.Go("shares", shares.Run) }))
		}),
	)
}

// stopServer stops the entry without cutting a request: first the balancer is
// told, then new work is refused as not run, then what is in flight ends.
func stopServer(ctx context.Context, server *Server, h *Handler, r *Readiness, log *slog.Logger, timeout time.Duration) error {
	r.Leave()
	server.Leave()
	clock.Sleep(ctx, leaveNotice)
	h.Stop()
	finishing, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := server.Shutdown(finishing)
	if err != nil {
		log.Warn("requests were still in flight at the end of the stop timeout", "error", err)
	}
	return err
}

// ServerOptions are the settings of the callers' server.
type ServerOptions struct {
	Address netip.AddrPort

	// MaxCallers bounds the open connections.
	MaxCallers int

	// Bound is what the connections may hold together.
	Bound conns.BoundOptions
}
