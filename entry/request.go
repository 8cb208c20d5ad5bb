package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"lemonstream.dev/lemonstream/admit"
	"lemonstream.dev/lemonstream/once"
)

// Headers between callers, entries and endpoints.
const (
	// HeaderDeadline is how long the caller waits, as a duration such as 2s.
	HeaderDeadline = "Lemonstream-Deadline"

	// HeaderKey is the request's identity.
	HeaderKey = "Idempotency-Key"

	// HeaderRequestID names one attempt from the entry to the endpoint. An
	// endpoint that echoes it lets the entry check whose answer it got.
	HeaderRequestID = "Lemonstream-Request-Id"

	// HeaderSession names the session.
	HeaderSession = "Lemonstream-Session"

	// HeaderTeam names the team whose quota pays.
	HeaderTeam = "Lemonstream-Team"

	// HeaderUnrepeatable marks a request that may run at most once.
	HeaderUnrepeatable = "Lemonstream-Unrepeatable"

	// HeaderUrgency is background, normal or urgent.
	HeaderUrgency = "Lemonstream-Urgency"
)

const (
	// defaultDeadline holds where the caller names none.
	defaultDeadline = 10 * time.Second

	// longestDeadline bounds what a caller may name.
	longestDeadline = 5 * time.Minute

	// longestName bounds each header that names something, in bytes.
	longestName = 256
)

// request is what a caller asks, checked.
type request struct {
	id           string
	service      string
	path         string
	method       string
	team         string
	urgency      admit.Urgency
	deadline     time.Time
	unrepeatable bool

	// key is set when unrepeatable is.
	key once.Key

	// session is the hash of the session, or 0 for none.
	session uint64

	header http.Header

	// body holds the whole body, or its first part when stream is set.
	body   []byte
	stream *streamBody
}

// parseRequest checks everything but the body.
func parseRequest(c *gin.Context, now time.Time) (*request, *Problem) {
	header := c.Request.Header
	for _, name := range []string{HeaderDeadline, HeaderKey, HeaderSession, HeaderTeam, HeaderUnrepeatable, HeaderUrgency} {
		if len(header.Values(name)) > 1 || len(header.Get(name)) > longestName {
			return nil, badRequest("header " + name + " stands twice or is longer than " + strconv.Itoa(longestName) + " bytes")
		}
	}
	r := &request{
		id:      uuid.NewString(),
		service: c.Param("service"),
		path:    requestPath(c),
		method:  c.Request.Method,
		team:    header.Get(HeaderTeam),
		header:  forwardHeader(header),
	}
	patience, problem := parseDeadline(header.Get(HeaderDeadline))
	if problem != nil {
		return nil, problem
	}
	r.deadline = now.Add(patience)
	if r.urgency, problem = parseUrgency(header.Get(HeaderUrgency)); problem != nil {
		return nil, problem
	}
	if session := header.Get(HeaderSession); session != "" {
		r.session = xxhash.Sum64String(session) | 1
	}
	return r, r.parseIdentity(header)
}

func (r *request) parseIdentity(header http.Header) *Problem {
	mark := header.Get(HeaderUnrepeatable)
	if mark == "" {
		return nil
	}
	marked, err := strconv.ParseBool(mark)
	if err != nil {
		return badRequest("header " + HeaderUnrepeatable + " must be true or false")
	}
	if !marked {
		return nil
	}
	key, err := once.ParseKey(header.Get(HeaderKey))
	if err != nil {
		return badRequest(err.Error())
	}
	r.unrepeatable = true
	r.key = key
	return nil
}

func parseDeadline(text string) (time.Duration, *Problem) {
	if text == "" {
		return defaultDeadline, nil
	}
	patience, err := time.ParseDuration(text)
	if err != nil || patience <= 0 || patience > longestDeadline {
		return 0, badRequest("header " + HeaderDeadline + " must be a duration between 1ms and " + longestDeadline.String())
	}
	return patience, nil
}

func parseUrgency(text string) (admit.Urgency, *Problem) {
	switch text {
	case "", "normal":
		return admit.Normal, nil
	case "background":
		return admit.Background, nil
	case "urgent":
		return admit.Urgent, nil
	default:
		return 0, badRequest("header " + HeaderUrgency + " must be background, normal or urgent")
	}
}

// requestPath returns what the endpoint is asked for.
func requestPath(c *gin.Context) string {
	path := c.Param("path")
	if path == "" {
		path = "/"
	}
	if query := c.Request.URL.RawQuery; query != "" {
		path += "?" + query
	}
	return path
}

// forwardHeader copies what may go on to the endpoint: everything but the
// fields that belong to one connection (RFC 9110, section 7.6.1).
func forwardHeader(header http.Header) http.Header {
	out := make(http.Header, len(header)+1)
	dropped := connectionFields(header)
	for name, values := range header {
		if !dropped[name] {
			out[name] = values
		}
	}
	return out
}
