package operate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"lemonstream.dev/lemonstream/control"
	"lemonstream.dev/lemonstream/intent"
	"lemonstream.dev/lemonstream/work"
)

// clientTimeout bounds one call of a client.
const clientTimeout = 30 * time.Second

// Client speaks to the operators' interface of the entries.
type Client struct {
	// entries are tried in order until one answers.
	entries []netip.AddrPort
	http    *http.Client
}

// NoEntryError reports that no entry answered.
type NoEntryError struct {
	// Cause is the error of the last entry tried.
	Cause error
}

// NewClient returns a client that tries the entries in order.
func NewClient(entries []netip.AddrPort) *Client {
	return &Client{
		entries: entries,
		http: &http.Client{
			Timeout: clientTimeout,
		},
	}
}

// Error implements error.
func (e *NoEntryError) Error() string {
	return fmt.Sprintf("no entry answered; check --entries: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NoEntryError) Unwrap() error {
	return e.Cause
}

// Apply pauses, resumes or aborts a plan.
func (c *Client) Apply(ctx context.Context, plan string, verb control.Verb, operator string) (PlanAnswer, error) {
	var answer PlanAnswer
	err := c.call(ctx, http.MethodPost, PathPlans+"/"+plan+"/verb", VerbRequest{
		Verb:     verb,
		Operator: operator,
	}, &answer)
	return answer, err
}

// CancelJobs cancels jobs of a pool, all of them without ids.
func (c *Client) CancelJobs(ctx context.Context, pool string, ids []string) (int, error) {
	var answer CancelAnswer
	err := c.call(ctx, http.MethodPost, PathJobs+"/cancel", CancelRequest{
		Pool: pool,
		IDs:  ids,
	}, &answer)
	return answer.Cancelled, err
}

// Confirm confirms the plan that has the digest.
func (c *Client) Confirm(ctx context.Context, plan, digest string) (PlanAnswer, error) {
	var answer PlanAnswer
	err := c.call(ctx, http.MethodPost, PathPlans+"/"+plan+"/confirm", ConfirmRequest{
		Digest: digest,
	}, &answer)
	return answer, err
}

// Get reads what is at path into a value.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	return c.call(ctx, http.MethodGet, path, nil, into)
}

// Plan returns a plan with its progress.
func (c *Client) Plan(ctx context.Context, id string) (PlanAnswer, error) {
	var answer PlanAnswer
	err := c.Get(ctx, PathPlans+"/"+id, &answer)
	return answer, err
}

// Propose asks for a plan.
func (c *Client) Propose(ctx context.Context, i intent.Intent) (PlanAnswer, error) {
	var answer PlanAnswer
	err := c.call(ctx, http.MethodPost, PathPlans, i, &answer)
	return answer, err
}

// SubmitJobs submits jobs, all or none.
func (c *Client) SubmitJobs(ctx context.Context, jobs []work.Job) error {
	var answer []work.Job
	return c.call(ctx, http.MethodPost, PathJobs, SubmitRequest{
		Jobs: jobs,
	}, &answer)
}

// call tries the entries in order. An entry that answers, even with a problem,
// ends the search.
func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encoding request: %w", err)
		}
	}
	var last error
	for _, entry := range c.entries {
		request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.String()+path, bytes.NewReader(encoded))
		if err != nil {
			return fmt.Errorf("building request: %w", err)
		}
		if last = c.do(request, into); !isUnreachable(last) {
			return last
		}
	}
	return last
}

func (c *Client) do(request *http.Request, into any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return &NoEntryError{
			Cause: err,
		}
	}
	defer func() { _ = response.Body.Close() }()
	return decode(response, into)
}

func isUnreachable(err error) bool {
	var unreachable *NoEntryError
	return errors.As(err, &unreachable)
}

func decode(response *http.Response, into any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, 64<<20))
	if err != nil {
		return fmt.Errorf("reading answer: %w", err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		var problem Problem
		if err := json.Unmarshal(body, &problem); err != nil {
			return fmt.Errorf("entry answered %s", response.Status)
		}
		return &ProblemError{
			Problem: problem,
		}
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("decoding answer: %w", err)
	}
	return nil
}
