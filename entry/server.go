package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/conns"
	"lemonstream.dev/lemonstream/inflight"
)

const (
	// answerReserve is what is left of the stop timeout for the answers to requests
	// that are given up. Writing them takes milliseconds, but net/http looks only
	// each half a second whether all are written.
	answerReserve = time.Second

	// answerShare bounds that reserve where the stop timeout is short, as a divisor.
	answerShare = 2

	// bodyTimeout bounds the reading of a request.
	bodyTimeout = 60 * time.Second

	// headerTimeout bounds the reading of a header.
	headerTimeout = 5 * time.Second

	// idleTimeout closes a caller's connection that carried nothing.
	idleTimeout = 60 * time.Second

	// leaveNotice is the time between the first word that the entry stops and
	// the first refusal.
	leaveNotice = time.Second

	// writeTimeout bounds the writing of an answer.
	writeTimeout = longestDeadline + bodyTimeout
)

// Server is the callers' HTTP server.
type Server struct {
	http     *conns.Server
	listener net.Listener
	bound    *conns.Bound
	options  ServerOptions
	requests *inflight.Requests
}

// NewServer returns a server that does not listen yet.
func NewServer(h *Handler, c clock.Clock, o ServerOptions) *Server {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	h.Routes(engine)
	s := &Server{
		requests: inflight.New(c),
		http: conns.Stoppable(&http.Server{
			Handler:           refuseSurplus(engine),
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       bodyTimeout,
			WriteTimeout:      writeTimeout,
			IdleTimeout:       idleTimeout,
		}),
		bound:   conns.NewBound(o.Bound),
		options: o,
	}
	s.requests.Attach(s.http.Server)
	s.bound.Attach(s.http.Server)
	return s
}

// Address returns where the server listens.
func (s *Server) Address() net.Addr {
	return s.listener.Addr()
}

// Listen opens the address. Connections above the limit wait to be served.
func (s *Server) Listen() error {
	listener, err := net.Listen("tcp", s.options.Address.String())
	if err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	s.listener = conns.Limit(listener, s.options.MaxCallers, s.bound)
	return nil
}

// Serve serves until Shutdown.
func (s *Server) Serve(context.Context) error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Leave has every connection closed after its next answer. Requests are served as
// before, so that callers find another entry without losing any.
func (s *Server) Leave() {
	s.requests.Leave()
}

// Shutdown waits for the requests in flight, at most until ctx ends. What would
// outlast it is given up a little earlier, and its caller is told so. Callers beyond
// the limit of connections are refused.
func (s *Server) Shutdown(ctx context.Context) error {
	working, stop := workUntil(ctx)
	defer stop()
	defer context.AfterFunc(working, s.requests.GiveUp)()
	return s.http.Shutdown(ctx)
}

// refuseSurplus refuses what came over a connection for which there was no place.
func refuseSurplus(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conns.Surplus(r) {
			stopping().write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// workUntil returns a context that ends when requests are to be given up.
func workUntil(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return context.WithCancel(ctx)
	}
	reserve := min(answerReserve, time.Until(deadline)/answerShare)
	return context.WithDeadline(ctx, deadline.Add(-reserve))
}
