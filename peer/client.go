// Package peer is the protocol between entries: an entry tells the owner of a
// service of a new job, and asks it for the state of a job, a count, or whether
// it still works. It is HTTP/1.1 over kept connections inside the users'
// network, where no key material is handed out; see docs/design/platform.md for
// why QUIC with TLS, which needs some, is not used there.
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

	"lemonstream.dev/lemonstream/conns"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// callTimeout bounds a call that the owner answers from memory.
	callTimeout = 400 * time.Millisecond

	// cancelTimeout bounds a cancellation, which the owner writes first.
	cancelTimeout = 1200 * time.Millisecond

	// submitTimeout bounds a job's handing in, which the owner writes first: with
	// a slow store, that takes the rest of one transaction and another.
	submitTimeout = 2500 * time.Millisecond

	// kept is the most unused connections to one entry; twice as many may be open.
	kept = 8

	// idle is how long an unused connection is kept. It is below the 15 s after which
	// the other entry closes one: a call that met that would have an open outcome.
	idle = 10 * time.Second

	// maxBody bounds a body between entries: a job with its text.
	maxBody = 4 << 20
)

// Paths of the protocol.
const (
	pathCancel  = "/v1/cancel"
	pathChanges = "/v1/changes"
	pathLoad    = "/v1/load"
	pathOffer   = "/v1/offer"
	pathPending = "/v1/pending"
	pathPing    = "/v1/ping"
	pathState   = "/v1/state"
	pathSubmit  = "/v1/submit"
)

// queryService names the service that a call is about.
const queryService = "service"

// Client calls other entries.
type Client struct {
	conns *conns.Client
}

// NotOwnerError reports that the entry called does not own the service, or has
// not read its rows yet.
type NotOwnerError struct {
	Service string
}

// stateAnswer is the body of an answer to a question for a state.
type stateAnswer struct {
	State job.State `json:"state"`
}

type loadRequest struct {
	Closed []string `json:"closed"`
	Ended  []string `json:"ended"`
	Most   int      `json:"most"`
}

type pendingAnswer struct {
	Count int `json:"count"`
}

type pongAnswer struct {
	Incarnation string `json:"incarnation"`
	Owns        bool   `json:"owns"`

	// WriteAgeMillis is in milliseconds.
	WriteAgeMillis int64 `json:"write_age_ms"`

	// TurnedAwayMillis is in milliseconds; entries of earlier versions don't tell it.
	TurnedAwayMillis int64 `json:"turned_away_ms,omitempty"`
}

// NewClient returns a client with its own connections.
func NewClient(meter conns.Meter) *Client {
	return &Client{
		conns: conns.NewClient(conns.Limits{
			PerAddress: 2 * kept,
			Kept:       kept,
			Dial:       callTimeout,
			Idle:       idle,
			Answer:     maxBody,
			Meter:      meter,
		}),
	}
}

// Cancel asks the owner to withdraw a job. It reports false where the owner
// does not know the job.
func (c *Client) Cancel(ctx context.Context, to netip.AddrPort, service, id string) (bool, error) {
	status, _, err := c.tell(ctx, cancelTimeout, to, pathCancel, url.Values{
		queryService: {service},
		"id":         {id},
	}, nil)
	return status == http.StatusNoContent, err
}

// Load tells the owner of a service what that of the instances knows, and returns what
// the service needs and has.
func (c *Client) Load(ctx context.Context, to netip.AddrPort, service string, told owner.Directive) (shard.Load, error) {
	asked, err := json.Marshal(loadRequest{
		Closed: told.Closed,
		Ended:  told.Ended,
		Most:   told.Most,
	})
	if err != nil {
		return shard.Load{}, fmt.Errorf("encoding a question for load: %w", err)
	}
	_, body, err := c.ask(ctx, http.MethodPost, to, pathLoadCompact, url.Values{
		queryService: {service},
	}, asked)
	if err != nil {
		return shard.Load{}, err
	}
	load, err := DecodeLoad(body)
	if err != nil {
		return shard.Load{}, fmt.Errorf("load from %s: %w", to, err)
	}
	return load, nil
}

// Offer tells the owner of an accepted job; first says that no other entry was
// told of it.
func (c *Client) Offer(ctx context.Context, to netip.AddrPort, service string, record shard.Record, version int64, first bool) error {
	_, _, err := c.tell(ctx, callTimeout, to, pathOffer, url.Values{
		queryService: {service},
		"version":    {strconv.FormatInt(version, 10)},
		"first":      {strconv.FormatBool(first)},
	}, record.Encode())
	return err
}

// Pending asks the owner how many jobs of a route have not begun.
func (c *Client) Pending(ctx context.Context, to netip.AddrPort, service, route string) (int, error) {
	_, body, err := c.ask(ctx, http.MethodGet, to, pathPending, url.Values{
		queryService: {service},
		"route":      {route},
	}, nil)
	if err != nil {
		return 0, err
	}
	var answer pendingAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, fmt.Errorf("count from %s: %w", to, err)
	}
	return answer.Count, nil
}

// Ping asks an entry whether it owns a service and writes.
func (c *Client) Ping(ctx context.Context, to netip.AddrPort, service string) (owner.Pong, error) {
	_, body, err := c.ask(ctx, http.MethodGet, to, pathPing, url.Values{
		queryService: {service},
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

// State asks the owner for the state of a job; it reports false where the owner
// does not know the job.
func (c *Client) State(ctx context.Context, to netip.AddrPort, service, id string) (job.State, bool, error) {
	status, body, err := c.ask(ctx, http.MethodGet, to, pathState, url.Values{
		queryService: {service},
		"id":         {id},
	}, nil)
	if err != nil || status == http.StatusNotFound {
		return "", false, err
	}
	var answer stateAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return "", false, fmt.Errorf("state from %s: %w", to, err)
	}
	return answer.State, true, nil
}

// ask sends a question, which may be sent twice.
func (c *Client) ask(ctx context.Context, method string, to netip.AddrPort, path string, query url.Values, body []byte) (int, []byte, error) {
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

// tell sends what has an effect, once.
func (c *Client) tell(ctx context.Context, within time.Duration, to netip.AddrPort, path string, query url.Values, body []byte) (int, []byte, error) {
	return c.call(ctx, path, query, conns.Call{
		Method: http.MethodPost,
		To:     to,
		Body:   body,
		Within: within,
	})
}

// call sends one request. Its error is a *NotOwnerError, a
// *outside.NotDoneError where no process listens, or a *outside.UncertainError.
func (c *Client) call(ctx context.Context, path string, query url.Values, call conns.Call) (int, []byte, error) {
	call.Target = target(path, query)
	call.Purpose = "entries" + path
	answer, err := c.conns.Do(ctx, call)
	if err != nil {
		return 0, nil, outside.CallError(path, err)
	}
	switch answer.Status {
	case http.StatusOK, http.StatusNoContent, http.StatusNotFound, http.StatusConflict, http.StatusGone, http.StatusTooManyRequests:
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
