package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/witness"
)

// maxPromiseBody is the maximum size in bytes of a request for a promise. It holds the names of some
// thousand instances.
const maxPromiseBody = 64 << 10

// promiseRequest is the body of a request for a promise; it encodes an owner.PromiseRequest.
type promiseRequest struct {
	Part    string   `json:"part"`
	Epoch   int64    `json:"epoch"`
	Owner   string   `json:"owner"`
	Ordered []string `json:"ordered,omitempty"`
}

// promiseAnswer is the body of an answer to a request for a promise; it encodes an
// owner.PromiseAnswer.
type promiseAnswer struct {
	Incarnation string `json:"incarnation"`

	// PromisedMillis is for how long the entry does not claim the part, in milliseconds; 0 means
	// that it refused.
	PromisedMillis int64  `json:"promised_ms"`
	Reason         string `json:"reason,omitempty"`
}

// Promise asks an entry not to claim a part. The request is sent once: the owner repeats it.
func (c *Client) Promise(ctx context.Context, to netip.AddrPort, request owner.PromiseRequest) (owner.PromiseAnswer, error) {
	encoded, err := json.Marshal(promiseRequest{
		Part:    request.Part,
		Epoch:   request.Epoch,
		Owner:   request.Owner,
		Ordered: request.Ordered,
	})
	if err != nil {
		return owner.PromiseAnswer{}, fmt.Errorf("encoding a request for a promise: %w", err)
	}
	status, body, err := c.callOnce(ctx, witness.RequestTimeout, to, pathPromise, url.Values{}, encoded)
	if err != nil {
		return owner.PromiseAnswer{}, err
	}
	var answer promiseAnswer
	if status != http.StatusOK {
		return owner.PromiseAnswer{}, &outside.NotDoneError{
			Call:   pathPromise,
			Status: status,
			Reason: string(body),
		}
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return owner.PromiseAnswer{}, fmt.Errorf("promise of %s: %w", to, err)
	}
	return owner.PromiseAnswer{
		Incarnation: answer.Incarnation,
		Promised:    time.Duration(answer.PromisedMillis) * time.Millisecond,
		Reason:      answer.Reason,
	}, nil
}

func (s *Server) promise(c *gin.Context) {
	var request promiseRequest
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxPromiseBody)
	if err := c.ShouldBindJSON(&request); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	answer := s.Promise(c.Request.Context(), owner.PromiseRequest{
		Part:    request.Part,
		Epoch:   request.Epoch,
		Owner:   request.Owner,
		Ordered: request.Ordered,
	})
	c.JSON(http.StatusOK, promiseAnswer{
		Incarnation:    answer.Incarnation,
		PromisedMillis: answer.Promised.Milliseconds(),
		Reason:         answer.Reason,
	})
}
