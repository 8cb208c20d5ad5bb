package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"golang.org/x/net/netutil"
)

const (
	// bodyTimeout bounds the reading of a request.
	bodyTimeout = 60 * time.Second

	// headerTimeout bounds the reading of a header.
	headerTimeout = 5 * time.Second

	// idleTimeout closes a caller's connection that carried nothing.
	idleTimeout = 60 * time.Second

	// leaveNotice is the time between the first word that the entry stops and
	// the first refusal.
	leaveNotice = time.Second

	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 32 << 10

	// writeTimeout bounds the writing of an answer.
	writeTimeout = longestDeadline + bodyTimeout
)

// Server is the callers' HTTP server.
type Server struct {
	http     *http.Server
	listener net.Listener
	options  ServerOptions
}

// NewServer returns a server that does not listen yet.
func NewServer(h *Handler, o ServerOptions) *Server {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	h.Routes(engine)
	return &Server{
		http: &http.Server{
			Handler:           engine,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       bodyTimeout,
			WriteTimeout:      writeTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
		options: o,
	}
}

// Listen opens the address. Connections above the limit wait to be accepted.
func (s *Server) Listen() error {
	listener, err := net.Listen("tcp", s.options.Address.String())
	if err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	s.listener = netutil.LimitListener(listener, s.options.MaxCallers)
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

// Shutdown waits for the requests in flight, at most until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}
