package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/forward"
	"lemonstream.dev/lemonstream/route"
)

const (
	// slotPatience bounds the wait of a session for a slot of its endpoint.
	slotPatience = 250 * time.Millisecond

	// slotPause is the pause between two looks for a slot.
	slotPause = 2 * time.Millisecond
)

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

// choose picks an endpoint by the newest snapshot. A session whose endpoint has
// no slot free waits a moment for one, since it has nowhere else to go.
func (h *Handler) choose(ctx context.Context, a *attempt) (*route.Endpoint, route.Reason) {
	waiting, cancel := context.WithTimeout(ctx, slotPatience)
	defer cancel()
	for {
		if newest := h.services.current.Load().services[a.request.service]; newest != nil {
			a.service = newest
		}
		endpoint, reason := a.service.route.Choose(route.Request{
			Now:     clock.Millis(h.clock.Now()),
			Session: a.request.session,
			Random:  rand.Uint64(),
			Avoid:   a.avoid,
		})
		if endpoint != nil || reason != route.ReasonFull || a.request.session == 0 {
			return endpoint, reason
		}
		if !clock.Sleep(waiting, slotPause) {
			return nil, reason
		}
	}
}

// try sends the request to one endpoint. It reports whether another try is
// allowed; a result beside that is what to answer if none follows.
func (h *Handler) try(ctx context.Context, a *attempt) (*answer, *Problem, bool) {
	r := a.request
	endpoint, reason := h.choose(ctx, a)
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
