// Package entry serves callers: it checks a request, admits it, chooses an
// endpoint, sends it and hands back the whole answer or a typed problem.
package entry

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/admit"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/once"
)

// Claims is the seam to the homes of unrepeatable requests.
type Claims struct {
	// Claim returns nil when the attempt may run the identity.
	Claim func(ctx context.Context, key once.Key, attempt string) error

	// Release gives back a grant whose attempt certainly did not run.
	Release func(ctx context.Context, key once.Key, attempt string)
}

// Guards are the checks that carry the promises. Each is a field, so that a
// test can replace it by one that always agrees and see a promise break.
type Guards struct {
	// Echoes decides whether an answer that names a request is the answer to
	// the one that was sent.
	Echoes func(sent, named string) bool

	// Broken returns the error of an answer that broke off.
	Broken func(err error) error
}

// Handler answers callers.
type Handler struct {
	guards Guards

	services *Services
	claims   Claims
	clock    clock.Clock
	log      *slog.Logger
	limits   Limits

	// open reports whether the entry may send requests to endpoints.
	open func() bool
}

// Limits bounds what one request may cost.
type Limits struct {
	// BufferBody and MaxBody are in bytes.
	BufferBody int64
	MaxBody    int64
}

// AllGuards returns the guards that hold the promises.
func AllGuards() Guards {
	return Guards{
		Echoes: func(sent, named string) bool { return named == "" || named == sent },
		Broken: func(err error) error { return err },
	}
}

// NewHandler returns a handler.
func NewHandler(s *Services, claims Claims, c clock.Clock, log *slog.Logger, limits Limits, guards Guards, open func() bool) *Handler {
	return &Handler{
		guards:   guards,
		open:     open,
		services: s,
		claims:   claims,
		clock:    c,
		log:      log,
		limits:   limits,
	}
}

// Routes adds the callers' routes to the engine.
func (h *Handler) Routes(engine *gin.Engine) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		engine.Handle(method, "/call/:service", h.serve)
		engine.Handle(method, "/call/:service/*path", h.serve)
	}
	engine.HandleMethodNotAllowed = true
	engine.NoMethod(func(c *gin.Context) {
		problem := badRequest("method " + strconv.Quote(c.Request.Method) + " is not served")
		problem.Status = http.StatusMethodNotAllowed
		problem.write(c.Writer)
	})
	engine.NoRoute(func(c *gin.Context) {
		problem := badRequest("callers are served below /call/SERVICE/")
		problem.Status = http.StatusNotFound
		problem.write(c.Writer)
	})
}

// Stop refuses new requests as not run; those in flight go on.
func (h *Handler) Stop() {
	h.services.Stop()
}

func (h *Handler) serve(c *gin.Context) {
	start := h.clock.Now()
	r, problem := parseRequest(c, start)
	if problem == nil && !h.open() {
		problem = starting()
	}
	if problem != nil {
		problem.write(c.Writer)
		return
	}
	c.Header(HeaderRequestID, r.id)
	snapshot := h.services.current.Load()
	service, found := snapshot.services[r.service]
	if !found {
		unknownService(r.service).write(c.Writer)
		return
	}
	ctx, cancel := context.WithDeadline(c.Request.Context(), r.deadline)
	defer cancel()
	result, problem := h.run(ctx, c.Request, r, service, snapshot)
	if problem != nil {
		problem.RequestID = r.id
		service.count.Add(h.clock.Now(), problem.burnOutcome())
		h.log.Info("request not answered", "request_id", r.id, "service", r.service, "type", problem.Type, "outcome", problem.Outcome, "detail", problem.Detail)
		problem.write(c.Writer)
		return
	}
	h.reply(c.Writer, r, service, result)
}

// run takes the request through admission and sending.
func (h *Handler) run(ctx context.Context, from *http.Request, r *request, s *service, current *snapshot) (*answer, *Problem) {
	if problem := h.checkQuota(r.team, current); problem != nil {
		return nil, problem
	}
	if err := r.readBody(from, h.limits.BufferBody, h.limits.MaxBody); err != nil {
		if isTooLarge(err) {
			return nil, tooLarge(h.limits.MaxBody)
		}
		return nil, badRequest("the body ended early: " + err.Error())
	}
	now := h.clock.Now()
	ticket := admit.Ticket{
		Urgency:  r.urgency,
		Deadline: r.deadline,
	}
	if err := s.gate.Enter(ctx, ticket, now); err != nil {
		return nil, fromAdmission(err)
	}
	admitted := h.clock.Now()
	defer func() { s.gate.Leave(h.clock.Now().Sub(admitted)) }()
	a := &attempt{
		request: r,
		service: s,
	}
	return h.sendUntilAnswered(ctx, a)
}

// checkQuota spends the team's quota. A team without a quota is refused where
// the configuration names teams at all.
func (h *Handler) checkQuota(team string, current *snapshot) *Problem {
	if len(current.quotas) == 0 {
		return nil
	}
	quota := current.quotas[team]
	if quota == nil {
		return unknownTeam(team)
	}
	if wait := quota.Take(h.clock.Now()); wait > 0 {
		return overQuota(team, wait)
	}
	return nil
}
