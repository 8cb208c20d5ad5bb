package intake

import (
	"errors"
	"io"
	"net/http"

	"lemonstream.dev/lemonstream/job"
)

// largeBody is the size in bytes from which on bodies are decoded one at a time: that
// takes several times their text.
const largeBody = 16 << 10

// read returns the body of a request, of at most limit bytes. On failure it writes the answer and
// returns false.
func (s *Server) read(r *request, limit int64) ([]byte, bool) {
	if r.Request.ContentLength > limit {
		refuseBody(r)
		return nil, false
	}
	body, err := io.ReadAll(io.LimitReader(r.Request.Body, limit+1))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large) || int64(len(body)) > limit:
		refuseBody(r)
		return nil, false
	case err != nil:
		r.String(http.StatusBadRequest, "the body ended early\n")
		return nil, false
	default:
		return body, true
	}
}

// refuseBody answers a request whose body is over the limit. What is left of the body is of no use,
// and so the connection is not kept.
func refuseBody(r *request) {
	r.Header("Connection", "close")
	r.Status(http.StatusRequestEntityTooLarge)
}

func (s *Server) decode(body []byte) (job.Spec, error) {
	if len(body) > largeBody {
		s.large.Lock()
		defer s.large.Unlock()
	}
	return s.Codec.DecodeJob(body)
}
