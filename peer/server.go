package peer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/feed"
	"lemonstream.dev/lemonstream/link"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/queue"
	"lemonstream.dev/lemonstream/shard"
)

// Server handles requests of other entries for the services that this entry owns.
type Server struct {
	// Incarnation identifies this process.
	Incarnation string

	// Duty returns the duty of a service that this entry owns, once its rows are read.
	Duty func(service string) (*owner.Duty, bool)

	// Held is like Duty, but also returns a duty whose rows are still being read.
	Held func(service string) (*owner.Duty, bool)

	// WriteAge returns how long ago the duty of a service last wrote.
	WriteAge func(service string) (time.Duration, bool)

	// Pass returns the changes of a table that this entry forwards; see feed.Reader.
	Pass func(ctx context.Context, table string, after int64, wait time.Duration) (feed.Passed, error)

	// PassBudget limits the bytes of forwarded changes; nil means no limit.
	PassBudget *link.Budget

	// packed caches the compressed values of forwarded rows.
	packed packed

	// TurnedAway returns for how long the store has rejected all writes of a service's duty.
	TurnedAway func(service string) time.Duration

	// Contacted is told of each entry that pings this one; nil if nobody wants to know.
	Contacted func(incarnation string)

	// Submit places a job in its queue and submits it to a duty; nil submits it as it is.
	Submit func(ctx context.Context, duty *owner.Duty, service string, record shard.Record) error

	// Placement returns the placement of a route's queue; nil if the entry knows none.
	Placement func(ctx context.Context, route catalog.Route, version int64) (queue.Placement, error)

	// Promise decides on an owner's request for a promise.
	Promise func(ctx context.Context, request owner.PromiseRequest) owner.PromiseAnswer
}

// Routes registers the handlers of the protocol with a router.
func (s *Server) Routes(router *gin.Engine) {
	router.GET(pathChanges, s.changes)
	router.GET(pathPing, s.ping)
	router.POST(pathPromise, s.promise)
	router.POST(pathSubmit, s.requireHeld(s.submit))
	router.GET(pathState, s.requireOwned(s.state))
	router.GET(pathPending, s.requireOwned(s.pending))
	router.POST(pathLoad, s.requireOwned(s.load))
	router.POST(pathLoadCompact, s.requireOwned(s.loadCompact))
	router.POST(pathOffer, s.requireOwned(s.offer))
	router.POST(pathCancel, s.requireOwned(s.cancel))
}

// requireOwned wraps a handler. It answers 421 unless this entry owns the requested service and
// has read its rows.
func (s *Server) requireOwned(handle func(*gin.Context, *owner.Duty)) gin.HandlerFunc {
	return func(c *gin.Context) {
		duty, found := s.Duty(c.Query(queryService))
		if !found {
			c.Status(http.StatusMisdirectedRequest)
			return
		}
		handle(c, duty)
	}
}

func (s *Server) cancel(c *gin.Context, duty *owner.Duty) {
	ctx, stop := context.WithTimeout(c.Request.Context(), cancelTimeout)
	defer stop()
	known, err := duty.Cancel(ctx, callerOf(c), c.Query("id"))
	switch {
	case err != nil:
		c.Status(http.StatusServiceUnavailable)
	case !known:
		c.Status(http.StatusNotFound)
	default:
		c.Status(http.StatusNoContent)
	}
}

// exchangeLoad passes the directive of a request to the duty and returns the load of the duty. On
// failure it writes the error status and returns false.
func (s *Server) exchangeLoad(c *gin.Context, duty *owner.Duty) (shard.Load, bool) {
	var request loadRequest
	if err := c.ShouldBindJSON(&request); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return shard.Load{}, false
	}
	ctx, stop := context.WithTimeout(c.Request.Context(), callTimeout)
	defer stop()
	load, err := duty.Load(ctx, owner.Directive{
		Closed: request.Closed,
		Ended:  request.Ended,
		Most:   request.Most,
	})
	if err != nil {
		c.Status(http.StatusServiceUnavailable)
		return shard.Load{}, false
	}
	return load, true
}

func (s *Server) offer(c *gin.Context, duty *owner.Duty) {
	version, err := strconv.ParseInt(c.Query("version"), 10, 64)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	record, ok := s.record(c)
	if !ok {
		return
	}
	if err := duty.Offer(record, version, c.Query("first") == "true"); err != nil {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.Status(http.StatusNoContent)
}

func (s *Server) pending(c *gin.Context, duty *owner.Duty) {
	count, known := duty.Pending(c.Query("route"))
	if !known {
		c.Status(http.StatusMisdirectedRequest)
		return
	}
	elsewhere, err := s.elsewhere(c)
	if err != nil {
		c.String(http.StatusServiceUnavailable, err.Error())
		return
	}
	c.JSON(http.StatusOK, pendingAnswer{
		Count:     count,
		Elsewhere: elsewhere,
	})
}

// elsewhere returns the other services that may have jobs of the queue that a request names.
func (s *Server) elsewhere(c *gin.Context) ([]pendingElsewhere, error) {
	host := c.Query(queryHost)
	if host == "" || s.Placement == nil {
		return nil, nil
	}
	version, err := strconv.ParseInt(c.Query(queryVersion), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("version of a request: %w", err)
	}
	ctx, stop := context.WithTimeout(c.Request.Context(), callTimeout)
	defer stop()
	placement, err := s.Placement(ctx, catalog.Route{
		Host:   host,
		Prefix: c.Query(queryPrefix),
	}, version)
	if err != nil {
		return nil, err
	}
	var list []pendingElsewhere
	for _, other := range placement.Services {
		list = append(list, pendingElsewhere{
			Service: other.Name,
			Routes:  other.Routes,
		})
	}
	return list, nil
}

func (s *Server) ping(c *gin.Context) {
	if s.Contacted != nil {
		s.Contacted(c.Query(queryFrom))
	}
	age, owns := s.WriteAge(c.Query(queryService))
	c.JSON(http.StatusOK, pongAnswer{
		Incarnation:      s.Incarnation,
		Owns:             owns,
		WriteAgeMillis:   age.Milliseconds(),
		TurnedAwayMillis: s.TurnedAway(c.Query(queryService)).Milliseconds(),
	})
}

func (s *Server) state(c *gin.Context, duty *owner.Duty) {
	state, known := duty.State(callerOf(c), c.Query("id"))
	if !known {
		c.Status(http.StatusNotFound)
		return
	}
	c.JSON(http.StatusOK, stateAnswer{
		State: state,
	})
}

// record decodes the job record in the body of a request. On failure it writes the error status
// and returns false.
func (s *Server) record(c *gin.Context) (shard.Record, bool) {
	body, err := io.ReadAll(io.LimitReader(c.Request.Body, MaxBody))
	if err != nil {
		c.Status(http.StatusBadRequest)
		return shard.Record{}, false
	}
	record, err := shard.DecodeRecord(body)
	if err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return shard.Record{}, false
	}
	return record, true
}
