// Package peer implements the protocol between entries. An entry submits jobs to the owner of
// a service, cancels them, and requests job states, counts of pending jobs, loads, table changes
// and health checks. The protocol is HTTP/1.1 over persistent connections inside the users'
// network. No key material is distributed there, so QUIC, which needs TLS, is not used; see
// docs/design/platform.md.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/conns"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/queue"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// callTimeout is the timeout of a call that the owner answers from memory.
	callTimeout = 400 * time.Millisecond

	// cancelTimeout is the timeout of a cancellation, which the owner stores before it answers.
	cancelTimeout = 1200 * time.Millisecond

	// submitTimeout is the timeout of a submission. The owner stores the job before it answers;
	// with a slow store this takes the rest of the running transaction and one more.
	submitTimeout = 2500 * time.Millisecond

	// maxIdleConns is the maximum number of idle connections to one entry. Twice as many may be
	// open.
	maxIdleConns = 8

	// idleTimeout is how long an idle connection is kept. It is below the 15 s after which the
	// other entry closes an idle connection: a call sent at that moment would have an uncertain
	// outcome.
	idleTimeout = 10 * time.Second

	// MaxBody is the maximum size of a body in bytes. The largest body is a job with its text.
	MaxBody = 4 << 20
)

// Paths of the protocol.
const (
	pathCancel  = "/v1/cancel"
	pathChanges = "/v1/changes"
	pathLoad    = "/v1/load"
	pathOffer   = "/v1/offer"
	pathPending = "/v1/pending"
	pathPing    = "/v1/ping"
	pathPromise = "/v1/promise"
	pathState   = "/v1/state"
	pathSubmit  = "/v1/submit"
)

// queryService is the query parameter with the name of the service.
const queryService = "service"

// Query parameters of a request for the number of pending jobs: the queue, and the version of the
// configuration. Entries of earlier versions don't send them.
const (
	queryHost    = "host"
	queryPrefix  = "prefix"
	queryVersion = "version"
)

// queryFrom is the query parameter of a ping with the incarnation of the calling entry. Entries of
// earlier versions don't send it.
const queryFrom = "from"

// Client calls other entries.
type Client struct {
	// From is the incarnation of this entry, which pings carry. It may be empty and must be set
	// before use.
	From string

	conns *conns.Client
}

// NotOwnerError reports that the called entry does not own the service, or has not finished
// reading its rows.
type NotOwnerError struct {
	Service string
}

// stateAnswer is the body of an answer to a request for the state of a job.
type stateAnswer struct {
	State job.State `json:"state"`
}

// loadRequest is the body of a load request; it encodes an owner.Directive.
type loadRequest struct {
	Closed []string `json:"closed"`
	Ended  []string `json:"ended"`
	Most   int      `json:"most"`
}

// pendingAnswer is the body of an answer to a request for the number of pending jobs.
type pendingAnswer struct {
	Count int `json:"count"`

	// Elsewhere holds the other services that may have jobs of the queue, if the request names one.
	// Entries of earlier versions don't send it.
	Elsewhere []pendingElsewhere `json:"elsewhere,omitempty"`
}

// pendingElsewhere is a service that may have jobs of a queue, under routes of these names.
type pendingElsewhere struct {
	Service string   `json:"service"`
	Routes  []string `json:"routes"`
}

// pongAnswer is the body of an answer to a ping; it encodes an owner.Pong.
type pongAnswer struct {
	Incarnation string `json:"incarnation"`
	Owns        bool   `json:"owns"`

	// WriteAgeMillis is the time since the owner's last write, in milliseconds.
	WriteAgeMillis int64 `json:"write_age_ms"`

	// TurnedAwayMillis is for how long the store has rejected all writes of the owner, in
	// milliseconds. Entries of earlier versions don't send it.
	TurnedAwayMillis int64 `json:"turned_away_ms,omitempty"`
}

// NewClient returns a client with its own connection pool.
func NewClient(meter conns.Meter) *Client {
	return &Client{
		conns: conns.NewClient(conns.Limits{
			PerAddress: 2 * maxIdleConns,
			Kept:       maxIdleConns,
			Dial:       callTimeout,
			Idle:       idleTimeout,
			Answer:     MaxBody,
			Meter:      meter,
		}),
	}
}

// Cancel requests the cancellation of a job from the owner. It returns false if the owner does
// not know the job or the caller may not cancel it.
func (c *Client) Cancel(ctx context.Context, to netip.AddrPort, service string, caller catalog.Caller, id string) (bool, error) {
	status, _, err := c.callOnce(ctx, cancelTimeout, to, pathCancel, jobQuery(service, caller, id), nil)
	return status == http.StatusNoContent, err
}

// Load sends a directive of the instance controller to the owner of a service, and returns the
// load of the service.
func (c *Client) Load(ctx context.Context, to netip.AddrPort, service string, directive owner.Directive) (shard.Load, error) {
	encoded, err := json.Marshal(loadRequest{
		Closed: directive.Closed,
		Ended:  directive.Ended,
		Most:   directive.Most,
	})
	if err != nil {
		return shard.Load{}, fmt.Errorf("encoding a question for load: %w", err)
	}
	_, body, err := c.callIdempotent(ctx, http.MethodPost, to, pathLoadCompact, url.Values{
		queryService: {service},
	}, encoded)
	if err != nil {
		return shard.Load{}, err
	}
	load, err := DecodeLoad(body)
	if err != nil {
		return shard.Load{}, fmt.Errorf("load from %s: %w", to, err)
	}
	return load, nil
}

// Offer sends an accepted job to the owner. The parameter first reports that the job was sent to
// no other entry before.
func (c *Client) Offer(ctx context.Context, to netip.AddrPort, service string, record shard.Record, version int64, first bool) error {
	_, _, err := c.callOnce(ctx, callTimeout, to, pathOffer, url.Values{
		queryService: {service},
		"version":    {strconv.FormatInt(version, 10)},
		"first":      {strconv.FormatBool(first)},
	}, record.Encode())
	return err
}

// Pending requests the number of jobs of a route that have not started from the owner. If the route has
// a host, the answer names the other services that may have jobs of its queue, as of the given version
// of the configuration or a later one.
func (c *Client) Pending(ctx context.Context, to netip.AddrPort, service string, route catalog.Route, version int64) (int, []queue.Service, error) {
	query := url.Values{
		queryService: {service},
		"route":      {route.Name},
	}
	if route.Host != "" {
		query.Set(queryHost, route.Host)
		query.Set(queryPrefix, route.Prefix)
		query.Set(queryVersion, strconv.FormatInt(version, 10))
	}
	_, body, err := c.callIdempotent(ctx, http.MethodGet, to, pathPending, query, nil)
	if err != nil {
		return 0, nil, err
	}
	var answer pendingAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, nil, fmt.Errorf("count from %s: %w", to, err)
	}
	var elsewhere []queue.Service
	for _, other := range answer.Elsewhere {
		elsewhere = append(elsewhere, queue.Service{
			Name:   other.Service,
			Routes: other.Routes,
		})
	}
	return answer.Count, elsewhere, nil
}

// Ping checks whether an entry owns a service and when it last wrote.
func (c *Client) Ping(ctx context.Context, to netip.AddrPort, service string) (owner.Pong, error) {
	_, body, err := c.callIdempotent(ctx, http.MethodGet, to, pathPing, url.Values{
		queryService: {service},
		queryFrom:    {c.From},
	}, nil)
	if err != nil {
		return owner.Pong{}, err
	}
	var answer pongAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return owner.Pong{}, fmt.Errorf("answer of %s: %w", to, err)
	}
	return owner.Pong{
		Incarnation: answer.Incarnation,
		Owns:        answer.Owns,
		WriteAge:    time.Duration(answer.WriteAgeMillis) * time.Millisecond,
		TurnedAway:  time.Duration(answer.TurnedAwayMillis) * time.Millisecond,
	}, nil
}

// State requests the state of a job from the owner. It returns false if the owner does not know
// the job or the caller may not see it.
func (c *Client) State(ctx context.Context, to netip.AddrPort, service string, caller catalog.Caller, id string) (job.State, bool, error) {
	status, body, err := c.callIdempotent(ctx, http.MethodGet, to, pathState, jobQuery(service, caller, id), nil)
	if err != nil || status == http.StatusNotFound {
		return "", false, err
	}
	var answer stateAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return "", false, fmt.Errorf("state from %s: %w", to, err)
	}
	return answer.State, true, nil
}

// callIdempotent sends an idempotent request, which may be sent a second time.
func (c *Client) callIdempotent(ctx context.Context, method string, to netip.AddrPort, path string, query url.Values, body []byte) (int, []byte, error) {
	return c.call(ctx, path, query, conns.Call{
		Method: method,
		To:     to,
		Body:   body,
		Second: &conns.Second{
			Target: target(path, query),
			Body:   body,
		},
		Within: callTimeout,
	})
}

// callOnce sends a request that is not idempotent and is never sent a second time.
func (c *Client) callOnce(ctx context.Context, within time.Duration, to netip.AddrPort, path string, query url.Values, body []byte) (int, []byte, error) {
	return c.call(ctx, path, query, conns.Call{
		Method: http.MethodPost,
		To:     to,
		Body:   body,
		Within: within,
	})
}

// call sends a request. The error is a *NotOwnerError, a *outside.NotDoneError if no process
// listens at the address, or a *outside.UncertainError.
func (c *Client) call(ctx context.Context, path string, query url.Values, call conns.Call) (int, []byte, error) {
	call.Target = target(path, query)
	call.Purpose = "entries" + path
	answer, err := c.conns.Do(ctx, call)
	if err != nil {
		return 0, nil, outside.CallError(path, err)
	}
	switch answer.Status {
	case http.StatusOK, http.StatusNoContent, http.StatusForbidden, http.StatusNotFound, http.StatusConflict, http.StatusGone, http.StatusTooManyRequests:
		return answer.Status, answer.Body, nil
	case http.StatusMisdirectedRequest:
		return 0, nil, &NotOwnerError{
			Service: query.Get(queryService),
		}
	default:
		return 0, nil, &outside.UncertainError{
			Call: path,
			Cause: &outside.NotDoneError{
				Call:   path,
				Status: answer.Status,
				Reason: string(answer.Body),
			},
		}
	}
}

func target(path string, query url.Values) string {
	return path + "?" + query.Encode()
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return "the entry called does not own service " + e.Service
}
