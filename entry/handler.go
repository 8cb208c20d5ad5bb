// Package entry serves callers: it checks a request, admits it, chooses an
// endpoint, sends it and hands back the whole answer or a typed problem.
package entry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/admit"
	"lemonstream.dev/lemonstream/burn"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/forward"
	"lemonstream.dev/lemonstream/once"
	"lemonstream.dev/lemonstream/route"
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
	stopping atomic.Bool
}

// Limits bounds what one request may cost.
type Limits struct {
	// BufferBody and MaxBody are in bytes.
	BufferBody int64
	MaxBody    int64
}

// answer is a whole answer, or the head of one too large to hold.
type answer struct {
	status int
	header http.Header
	body   []byte

	// rest is the open remainder of a large answer, or nil.
	rest io.ReadCloser

	// length is in bytes, or -1 where it is not known.
	length int64
}

// attempt is the state of one request on its way.
type attempt struct {
	request *request
	service *service

	// sent is whether any byte may have reached an endpoint in any try.
	sent bool

	// claimed is whether this attempt holds the grant of its identity.
	claimed bool

	// avoid is the endpoint that failed last.
	avoid *route.Endpoint
}

// AllGuards returns the guards that hold the promises.
func AllGuards() Guards {
	return Guards{
		Echoes: func(sent, named string) bool { return named == "" || named == sent },
		Broken: func(err error) error { return err },
	}
}

// NewHandler returns a handler.
func NewHandler(s *Services, claims Claims, c clock.Clock, log *slog.Logger, limits Limits, guards Guards) *Handler {
	return &Handler{
		guards:   guards,
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
	h.stopping.Store(true)
	h.services.Stop()
}

func (h *Handler) serve(c *gin.Context) {
	start := h.clock.Now()
	if h.stopping.Load() {
		c.Header("Connection", "close")
	}
	r, problem := parseRequest(c, start)
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

// sendUntilAnswered tries endpoints until one answers or nothing more may be
// tried. Where no endpoint is left to try, the caller gets what came of the
// last try.
func (h *Handler) sendUntilAnswered(ctx context.Context, a *attempt) (*answer, *Problem) {
	defer h.settle(ctx, a)
	result, problem, again := h.try(ctx, a)
	for retries := 0; again && retries < a.service.mostRetries && ctx.Err() == nil && a.service.retry.Take(); retries++ {
		next, nextProblem, nextAgain := h.try(ctx, a)
		if nextProblem != nil && nextProblem.untried {
			break
		}
		result.discard()
		result, problem, again = next, nextProblem, nextAgain
	}
	return result, problem
}

// try sends the request to one endpoint. It reports whether another try is
// allowed; a result beside that is what to answer if none follows.
func (h *Handler) try(ctx context.Context, a *attempt) (*answer, *Problem, bool) {
	r := a.request
	if newest := h.services.current.Load().services[r.service]; newest != nil {
		a.service = newest
	}
	endpoint, reason := a.service.route.Choose(route.Request{
		Now:     clock.Millis(h.clock.Now()),
		Session: r.session,
		Random:  rand.Uint64(),
		Avoid:   a.avoid,
	})
	if endpoint == nil {
		return nil, noEndpoint(r.service, string(reason), a.outcome()), false
	}
	if r.unrepeatable && !a.claimed {
		if err := h.claims.Claim(ctx, r.key, r.id); err != nil {
			endpoint.Release()
			return nil, fromClaim(err), false
		}
		a.claimed = true
	}
	return h.send(ctx, a, endpoint)
}

func (h *Handler) send(ctx context.Context, a *attempt, endpoint *route.Endpoint) (*answer, *Problem, bool) {
	r := a.request
	begin := h.clock.Now()
	header := r.header.Clone()
	header.Set(HeaderRequestID, r.id)
	response, err := a.service.sender.Send(ctx, endpoint.Address, r.method, r.path, header, r.outgoing())
	if err != nil {
		h.done(a, endpoint, begin, !errors.Is(ctx.Err(), context.Canceled))
		return nil, h.sendProblem(ctx, a, endpoint, err), a.mayRepeat()
	}
	a.sent = true
	if !h.guards.Echoes(r.id, response.Header.Get(HeaderRequestID)) {
		_ = response.Body.Close()
		h.done(a, endpoint, begin, true)
		a.avoid = endpoint
		return nil, lostAnswer("the endpoint answered another request", OutcomeUnknown), a.mayRepeat()
	}
	result, err := h.readAnswer(response)
	if err != nil {
		h.done(a, endpoint, begin, true)
		a.avoid = endpoint
		return nil, lostAnswer("the answer broke off: "+err.Error(), OutcomeUnknown), a.mayRepeat()
	}
	failed := result.status >= http.StatusInternalServerError
	if result.rest != nil {
		result.rest = &releasingBody{
			ReadCloser: result.rest,
			release:    func() { h.done(a, endpoint, begin, failed) },
		}
	} else {
		h.done(a, endpoint, begin, failed)
	}
	if failed {
		a.avoid = endpoint
		return result, nil, a.mayRepeat()
	}
	a.service.retry.Succeeded()
	return result, nil, false
}

// sendProblem notes what a failed send says about the request.
func (h *Handler) sendProblem(ctx context.Context, a *attempt, endpoint *route.Endpoint, err error) *Problem {
	var failed *forward.SendError
	if !errors.As(err, &failed) || failed.Sent {
		a.sent = true
	}
	a.avoid = endpoint
	if errors.Is(ctx.Err(), context.Canceled) {
		return callerGone(a.outcome())
	}
	if ctx.Err() != nil {
		return deadlinePassed(a.outcome())
	}
	return lostAnswer(err.Error(), a.outcome())
}

// settle gives the grant back when the request certainly did not run.
func (h *Handler) settle(ctx context.Context, a *attempt) {
	if a.claimed && !a.sent {
		h.claims.Release(ctx, a.request.key, a.request.id)
	}
}

func (h *Handler) done(a *attempt, endpoint *route.Endpoint, begin time.Time, failed bool) {
	now := h.clock.Now()
	a.service.route.Done(endpoint, clock.Millis(now), now.Sub(begin), failed)
}

// readAnswer holds an answer that fits the buffer whole, so that a broken one
// is found before anything of it goes to the caller.
func (h *Handler) readAnswer(response *http.Response) (*answer, error) {
	head, err := io.ReadAll(io.LimitReader(response.Body, h.limits.BufferBody+1))
	if err := h.guards.Broken(err); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	result := &answer{
		status: response.StatusCode,
		header: response.Header,
		body:   head,
		length: response.ContentLength,
	}
	if int64(len(head)) > h.limits.BufferBody {
		result.rest = response.Body
		return result, nil
	}
	result.length = int64(len(head))
	return result, response.Body.Close()
}

// reply hands the answer to the caller. An answer that breaks off while it is
// streamed breaks the caller's connection, so that it can't pass for whole.
func (h *Handler) reply(w http.ResponseWriter, r *request, s *service, result *answer) {
	header := w.Header()
	dropped := connectionFields(result.header)
	for name, values := range result.header {
		if !dropped[name] {
			header[name] = values
		}
	}
	header.Set(HeaderRequestID, r.id)
	if result.length >= 0 && r.method != http.MethodHead && result.status != http.StatusNoContent && result.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(result.length, 10))
	}
	w.WriteHeader(result.status)
	_, err := w.Write(result.body)
	if result.rest != nil {
		err = errors.Join(err, h.stream(w, result))
	}
	outcome := burn.Whole
	switch {
	case err != nil:
		outcome = burn.Unknown
	case result.status >= http.StatusInternalServerError:
		outcome = burn.Failed
	case h.clock.Now().After(r.deadline):
		outcome = burn.Late
	}
	s.count.Add(h.clock.Now(), outcome)
	if err != nil {
		h.log.Info("answer broke off", "request_id", r.id, "service", r.service, "error", err)
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) stream(w http.ResponseWriter, result *answer) error {
	defer func() { _ = result.rest.Close() }()
	limited := &limitReader{
		from: result.rest,
		left: h.limits.MaxBody - int64(len(result.body)),
	}
	_, err := io.Copy(w, limited)
	return err
}

// mayRepeat reports whether the request may be sent to another endpoint: it
// certainly did not run, or it may run twice.
func (a *attempt) mayRepeat() bool {
	if !a.sent {
		return a.request.stream == nil
	}
	return a.request.repeatable()
}

// outcome says what is known of the request when it is given up.
func (a *attempt) outcome() string {
	if a.sent {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// discard closes an answer that nobody gets.
func (r *answer) discard() {
	if r != nil && r.rest != nil {
		_ = r.rest.Close()
	}
}

// releasingBody gives the endpoint's slot back when the answer is closed.
type releasingBody struct {
	io.ReadCloser

	release func()
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	b.release()
	return b.ReadCloser.Close()
}
