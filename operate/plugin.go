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

func newHandler(store *control.Store, w *state.Watch, p *member.Peers, r *entry.Readiness, outside store.Platform, reporter *Reporter, jobs *work.Store, c clock.Clock, log *slog.Logger) *Handler {
	return &Handler{
		store:     store,
		watch:     w,
		peers:     p,
		readiness: r,
		platform:  outside,
		reporter:  reporter,
		jobs:      jobs,
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
		fx.Invoke(func(lc fx.Lifecycle, g *kernel.Group, h *Handler, d settings.Daemon) {
			server := newServer(h)
			lc.Append(fx.Hook{
				OnStart: func(context.Context) error {
					listener, err := net.Listen("tcp", d.Operators.String())
					if err != nil {
						return fmt.Errorf("listening for operators: %w", err)
					}
					g.Go("operators", func(context.Context) error { return serve(server, listener) })
					return nil
				},
				OnStop: server.Shutdown,
			})
		}),
	)
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
