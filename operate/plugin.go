package operate

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/conns"
	"lemonstream.dev/lemonstream/control"
	"lemonstream.dev/lemonstream/entry"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/settings"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
	"lemonstream.dev/lemonstream/work"
)

const (
	// headerTimeout bounds the reading of a header.
	headerTimeout = 5 * time.Second

	// maxConnections, maxHeaderBytes, maxHeaderLines and maxHeld bound what operators and whoever
	// else reaches their address may hold; maxHeld is in bytes. It has room for several bodies.
	maxConnections = 256
	maxHeaderBytes = 32 << 10
	maxHeaderLines = 1000
	maxHeld        = 64 << 20

	// requestTimeout bounds the reading and the answer of a request.
	requestTimeout = 30 * time.Second
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "operate",
		Stage:   kernel.StageOperators,
		Options: options,
	})
}

func newHandler(store *control.Store, w *state.Watch, p *member.Peers, r *entry.Readiness, outside store.Platform, reporter *Reporter, jobs *work.Store, counts *conns.Counts, c clock.Clock, log *slog.Logger) *Handler {
	return &Handler{
		store:     store,
		watch:     w,
		peers:     p,
		readiness: r,
		platform:  outside,
		reporter:  reporter,
		jobs:      jobs,
		counts:    counts,
		clock:     c,
		log:       log,
	}
}

func newServer(h *Handler) *http.Server {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	h.Routes(engine)
	return &http.Server{
		Handler:           engine,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
	}
}

func options() fx.Option {
	return fx.Options(
		fx.Provide(
			NewReporter,
			newHandler,
		),
		fx.Invoke(func(lc fx.Lifecycle, g *kernel.Group, h *Handler, d settings.Daemon, counts *conns.Counts, log *slog.Logger) {
			server := newServer(h)
			bound := newBound(counts, log)
			bound.Attach(server)
			lc.Append(fx.Hook{
				OnStart: func(context.Context) error {
					listener, err := net.Listen("tcp", d.Operators.String())
					if err != nil {
						return fmt.Errorf("listening for operators: %w", err)
					}
					bounded := conns.Listen(listener, conns.ServerLimits{
						Bound: bound,
					})
					g.Go("operators", func(context.Context) error { return serve(server, bounded) })
					return nil
				},
				OnStop: server.Shutdown,
			})
		}),
	)
}

// newBound returns what bounds the connections of operators.
func newBound(counts *conns.Counts, log *slog.Logger) *conns.Bound {
	return conns.NewBound(conns.BoundOptions{
		Name:        "operators",
		Bytes:       maxHeld,
		Connections: maxConnections,
		HeaderBytes: func() int { return maxHeaderBytes },
		HeaderLines: func() int { return maxHeaderLines },
		BodyBytes:   func() int64 { return maxBodyBytes },
		Count:       counts.Add,
		Log:         log,
	})
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
