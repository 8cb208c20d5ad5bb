package entry

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"lemonstream.dev/lemonstream/admit"
	"lemonstream.dev/lemonstream/burn"
	"lemonstream.dev/lemonstream/once"
)

const (
	// OutcomeNotRun means that the request certainly did not run.
	OutcomeNotRun = "not-run"

	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown = "unknown"
)

// ProblemType is the media type of a problem, RFC 9457.
const ProblemType = "application/problem+json"

// Problem is the answer to a request that was not answered by an endpoint, in
// the form of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`

	// Outcome is OutcomeNotRun or OutcomeUnknown.
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id,omitempty"`

	// RetryAfter is when to come back; 0 where coming back is of no use.
	RetryAfter time.Duration `json:"-"`

	// untried marks a try that found no endpoint to send to.
	untried bool
}

// burnOutcome returns how the report counts the problem.
func (p *Problem) burnOutcome() burn.Outcome {
	switch {
	case p.Status == http.StatusGatewayTimeout:
		return burn.Late
	case p.Outcome == OutcomeUnknown:
		return burn.Unknown
	default:
		return burn.Refused
	}
}

// write sends the problem to the caller.
func (p *Problem) write(w http.ResponseWriter) {
	body, err := json.Marshal(p)
	if err != nil {
		http.Error(w, p.Detail, p.Status)
		return
	}
	header := w.Header()
	header.Set("Content-Type", ProblemType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if p.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

func badRequest(detail string) *Problem {
	return &Problem{
		Type:    "urn:lemonstream:bad-request",
		Title:   "The request is not understood",
		Status:  http.StatusBadRequest,
		Detail:  detail,
		Outcome: OutcomeNotRun,
	}
}

// callerGone answers a caller that closed its side of the connection, which
// can't be told from one that left.
func callerGone(outcome string) *Problem {
	return &Problem{
		Type:    "urn:lemonstream:caller-gone",
		Title:   "The caller left",
		Status:  http.StatusBadRequest,
		Detail:  "the caller closed its side of the connection before the answer",
		Outcome: outcome,
	}
}

func deadlinePassed(outcome string) *Problem {
	return &Problem{
		Type:       "urn:lemonstream:deadline",
		Title:      "The deadline passed",
		Status:     http.StatusGatewayTimeout,
		Detail:     "the request was not answered before its deadline",
		Outcome:    outcome,
		RetryAfter: time.Second,
	}
}

// fromAdmission turns a refusal of a gate into a problem.
func fromAdmission(err error) *Problem {
	problem := &Problem{
		Type:       "urn:lemonstream:overload",
		Title:      "The service has no room now",
		Status:     http.StatusServiceUnavailable,
		Detail:     err.Error(),
		Outcome:    OutcomeNotRun,
		RetryAfter: time.Second,
	}
	var refused *admit.RefusedError
	if errors.As(err, &refused) {
		problem.RetryAfter = refused.RetryAfter
		problem.Type = "urn:lemonstream:" + string(refused.Reason)
	}
	return problem
}

// fromClaim turns a refused claim into a problem. The identity may have been
// let through before, so the outcome is unknown.
func fromClaim(err error) *Problem {
	problem := &Problem{
		Type:    "urn:lemonstream:identity",
		Title:   "The request was not run by this attempt",
		Status:  http.StatusConflict,
		Detail:  err.Error(),
		Outcome: OutcomeUnknown,
	}
	var unclaimed *once.UnclaimedError
	if errors.As(err, &unclaimed) {
		problem.RetryAfter = unclaimed.RetryAfter
	}
	return problem
}

func noEndpoint(service, reason, outcome string) *Problem {
	return &Problem{
		Type:       "urn:lemonstream:no-endpoint",
		Title:      "No endpoint can take the request",
		Status:     http.StatusServiceUnavailable,
		Detail:     "service " + service + ": " + reason,
		Outcome:    outcome,
		RetryAfter: time.Second,
		untried:    true,
	}
}

func lostAnswer(detail, outcome string) *Problem {
	return &Problem{
		Type:       "urn:lemonstream:no-answer",
		Title:      "The endpoint gave no whole answer",
		Status:     http.StatusBadGateway,
		Detail:     detail,
		Outcome:    outcome,
		RetryAfter: time.Second,
	}
}

func overQuota(team string, wait time.Duration) *Problem {
	return &Problem{
		Type:       "urn:lemonstream:quota",
		Title:      "The team's quota is spent",
		Status:     http.StatusTooManyRequests,
		Detail:     "team " + team + " asks for more than its quota",
		Outcome:    OutcomeNotRun,
		RetryAfter: wait,
	}
}

func starting() *Problem {
	return &Problem{
		Type:       "urn:lemonstream:starting",
		Title:      "The entry starts",
		Status:     http.StatusServiceUnavailable,
		Detail:     "the entry is not registered as a member yet",
		Outcome:    OutcomeNotRun,
		RetryAfter: time.Second,
	}
}

func stopping() *Problem {
	return &Problem{
		Type:       "urn:lemonstream:stopping",
		Title:      "The entry stops",
		Status:     http.StatusServiceUnavailable,
		Detail:     "the request waited for a connection when the entry was stopped",
		Outcome:    OutcomeNotRun,
		RetryAfter: time.Second,
	}
}

func tooLarge(limit int64) *Problem {
	return &Problem{
		Type:    "urn:lemonstream:too-large",
		Title:   "The body is too large",
		Status:  http.StatusRequestEntityTooLarge,
		Detail:  "bodies may hold at most " + strconv.FormatInt(limit, 10) + " bytes",
		Outcome: OutcomeNotRun,
	}
}

func unknownService(service string) *Problem {
	return &Problem{
		Type:    "urn:lemonstream:unknown-service",
		Title:   "No such service",
		Status:  http.StatusNotFound,
		Detail:  "service " + strconv.Quote(service) + " is not in the configuration",
		Outcome: OutcomeNotRun,
	}
}

func unknownTeam(team string) *Problem {
	return &Problem{
		Type:    "urn:lemonstream:unknown-team",
		Title:   "No such team",
		Status:  http.StatusForbidden,
		Detail:  "team " + strconv.Quote(team) + " has no quota in the configuration; name a team in " + HeaderTeam,
		Outcome: OutcomeNotRun,
	}
}
