package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/shard"
)

// Results of a submission.
const (
	resultForeign    result = "foreign"
	resultMoved      result = "moved"
	resultNotServing result = "left"
	resultUncertain  result = "open"
	resultRefused    result = "refused"
	resultAccepted   result = "taken"
	resultWithdrawn  result = "withdrawn"
)

// result is the result of submitting one job.
type result string

// refusedAnswer is the body of an answer with status 429.
type refusedAnswer struct {
	// RetryAfterMillis is the delay after which the job may be submitted again, in milliseconds.
	RetryAfterMillis int64 `json:"come_back_ms"`
}

// rejectedAnswer is the body of an answer with status 409. Entries of earlier versions send text.
type rejectedAnswer struct {
	Result result `json:"result"`
	Reason string `json:"reason"`
}

// Submit submits a job to the owner of its service, and returns once the record of the job is
// stored. A *outside.NotDoneError, a *NotOwnerError, a *owner.RefusedError, a *owner.ForeignError, a
// *owner.MovedError or a *owner.WithdrawnError means that the job was not accepted.
func (c *Client) Submit(ctx context.Context, to netip.AddrPort, service string, record shard.Record) error {
	status, body, err := c.callOnce(ctx, submitTimeout, to, pathSubmit, url.Values{
		queryService: {service},
	}, record.EncodeSubmission())
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		return rejectedError(service, record.ID, body)
	case status == http.StatusForbidden:
		return &owner.ForeignError{
			Job: record.ID,
		}
	case status == http.StatusTooManyRequests:
		return refusedError(service, body)
	default:
		return nil
	}
}

// refusedError decodes the answer of an owner that is overloaded.
func refusedError(service string, body []byte) error {
	var answer refusedAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return &outside.NotDoneError{
			Call:   pathSubmit,
			Status: http.StatusTooManyRequests,
			Reason: err.Error(),
		}
	}
	return &owner.RefusedError{
		Service:    service,
		RetryAfter: time.Duration(answer.RetryAfterMillis) * time.Millisecond,
	}
}

// rejectedError decodes the answer of an owner that did not accept a job.
func rejectedError(service, id string, body []byte) error {
	var answer rejectedAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		// The text of an earlier version.
		answer.Result = resultRefused
	}
	switch answer.Result {
	case resultMoved:
		return &owner.MovedError{
			Service: service,
		}
	case resultWithdrawn:
		return &owner.WithdrawnError{
			Job: id,
		}
	}
	return &outside.NotDoneError{
		Call:   pathSubmit,
		Status: http.StatusConflict,
		Reason: "the owner takes no jobs now",
	}
}

// resultOf maps an error of owner.Duty.Submit to a result.
func resultOf(err error) result {
	var notServing *owner.NotServingError
	var refused *owner.RefusedError
	var foreign *owner.ForeignError
	var moved *owner.MovedError
	var withdrawn *owner.WithdrawnError
	switch {
	case errors.As(err, &foreign):
		return resultForeign
	case errors.As(err, &moved):
		return resultMoved
	case errors.As(err, &withdrawn):
		return resultWithdrawn
	case errors.As(err, &refused):
		return resultRefused
	case err == nil:
		return resultAccepted
	case errors.As(err, &notServing):
		return resultNotServing
	case outside.IsNotDone(err):
		return resultRefused
	default:
		return resultUncertain
	}
}

// requireHeld wraps a handler. It answers 421 unless this entry owns the requested service. Unlike
// requireOwned, it accepts calls while the rows of the service are being read.
func (s *Server) requireHeld(handle func(*gin.Context, *owner.Duty)) gin.HandlerFunc {
	return func(c *gin.Context) {
		duty, found := s.Held(c.Query(queryService))
		if !found {
			c.Status(http.StatusMisdirectedRequest)
			return
		}
		handle(c, duty)
	}
}

// submit handles the submission of a job. Status 403, 409, 421 or 429 means that the job was not
// accepted.
func (s *Server) submit(c *gin.Context, duty *owner.Duty) {
	record, ok := s.record(c)
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(c.Request.Context(), submitTimeout)
	defer stop()
	var err error
	if s.Submit != nil {
		err = s.Submit(ctx, duty, c.Query(queryService), record)
	} else {
		err = duty.Submit(ctx, record)
	}
	var refused *owner.RefusedError
	if errors.As(err, &refused) {
		c.JSON(http.StatusTooManyRequests, refusedAnswer{
			RetryAfterMillis: refused.RetryAfter.Milliseconds(),
		})
		return
	}
	switch answer := resultOf(err); answer {
	case resultAccepted:
		c.Status(http.StatusNoContent)
	case resultForeign:
		c.String(http.StatusForbidden, err.Error())
	case resultNotServing:
		c.String(http.StatusMisdirectedRequest, err.Error())
	case resultMoved, resultRefused, resultWithdrawn:
		c.JSON(http.StatusConflict, rejectedAnswer{
			Result: answer,
			Reason: err.Error(),
		})
	default:
		c.String(http.StatusGatewayTimeout, err.Error())
	}
}
