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
	resultLeft    result = "left"
	resultOpen    result = "open"
	resultRefused result = "refused"
	resultTaken   result = "taken"
)

// result is the result of submitting one job.
type result string

// refusedAnswer is the body of an answer with status 429.
type turnedAwayAnswer struct {
	// RetryAfterMillis is the delay after which the job may be submitted again, in milliseconds.
	ComeBackMillis int64 `json:"come_back_ms"`
}

// Submit submits a job to the owner of its service, and returns once the record of the job is
// stored. A *outside.NotDoneError, a *NotOwnerError or a *owner.RefusedError means that the job
// was not accepted.
func (c *Client) Submit(ctx context.Context, to netip.AddrPort, service string, record shard.Record) error {
	status, body, err := c.tell(ctx, submitTimeout, to, pathSubmit, url.Values{
		queryService: {service},
	}, record.Encode())
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		return notTaken()
	case status == http.StatusTooManyRequests:
		return turnedAway(service, body)
	default:
		return nil
	}
}

// refusedError decodes the answer of an owner that is overloaded.
func turnedAway(service string, body []byte) error {
	var answer turnedAwayAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return &outside.NotDoneError{
			Call:   pathSubmit,
			Status: http.StatusTooManyRequests,
			Reason: err.Error(),
		}
	}
	return &owner.TurnedAwayError{
		Service:  service,
		ComeBack: time.Duration(answer.ComeBackMillis) * time.Millisecond,
	}
}

// resultOf maps an error of owner.Duty.Submit to a result.
func resultOf(err error) result {
	var notServing *owner.NotServingError
	var refused *owner.TurnedAwayError
	switch {
	case errors.As(err, &refused):
		return resultRefused
	case err == nil:
		return resultTaken
	case errors.As(err, &notServing):
		return resultLeft
	case outside.IsNotDone(err):
		return resultRefused
	default:
		return resultOpen
	}
}

func notTaken() error {
	return &outside.NotDoneError{
		Call:   pathSubmit,
		Status: http.StatusConflict,
		Reason: "the owner takes no jobs now",
	}
}

// requireHeld wraps a handler. It answers 421 unless this entry owns the requested service. Unlike
// requireOwned, it accepts calls while the rows of the service are being read.
func (s *Server) holding(handle func(*gin.Context, *owner.Duty)) gin.HandlerFunc {
	return func(c *gin.Context) {
		duty, found := s.Held(c.Query(queryService))
		if !found {
			c.Status(http.StatusMisdirectedRequest)
			return
		}
		handle(c, duty)
	}
}

// submit handles the submission of a job. Status 409, 421 or 429 means that the job was not
// accepted.
func (s *Server) submit(c *gin.Context, duty *owner.Duty) {
	record, ok := s.record(c)
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(c.Request.Context(), submitTimeout)
	defer stop()
	err := duty.Submit(ctx, record)
	var refused *owner.TurnedAwayError
	if errors.As(err, &refused) {
		c.JSON(http.StatusTooManyRequests, turnedAwayAnswer{
			ComeBackMillis: refused.ComeBack.Milliseconds(),
		})
		return
	}
	switch resultOf(err) {
	case resultTaken:
		c.Status(http.StatusNoContent)
	case resultLeft:
		c.String(http.StatusMisdirectedRequest, err.Error())
	case resultRefused:
		c.String(http.StatusConflict, err.Error())
	default:
		c.String(http.StatusGatewayTimeout, err.Error())
	}
}
