// Package intake serves callers: it takes jobs in, shows their state, withdraws
// them and counts those that wait. Any entry serves any caller. A job counts as
// accepted once its record stands in the table; nothing is answered that a
// later owner could contradict.
package intake

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/figures"
	"lemonstream.dev/lemonstream/freshness"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/peer"
	"lemonstream.dev/lemonstream/queue"
	"lemonstream.dev/lemonstream/retry"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// defaultDeadline is how long a caller without a deadline is worked for; it
	// is the routes' usual timeout.
	defaultDeadline = 3 * time.Second

	// deadlineReserve is the part of a deadline that is left for the answer.
	deadlineReserve = 150 * time.Millisecond

	// offerTries bounds how often an owner is told of a job; after that its
	// own look at the table finds it within a second.
	offerTries = 4

	// offerPause is the pause between these tries.
	offerPause = 150 * time.Millisecond

	// retryAfter is what a caller that was not served is told to wait, in whole
	// seconds, the header's unit: outages of the store that are worth waiting for
	// are over within seconds.
	retryAfter = 1

	// handInLook is the time between two looks whether an owner that does not
	// answer still works; handInStale is how old its last write may be. With the
	// store 60 times slower one takes 0.6 s, and two follow each other.
	handInLook  = 400 * time.Millisecond
	handInStale = 1500 * time.Millisecond

	// reasonStale is what a caller is told whose call would be answered by a configuration that
	// may no longer be in force.
	reasonStale = "the configuration can't be read; nothing was done"

	// Who wrote the record of a job: its owner, this entry, or somebody before the
	// job's route was moved.
	writerEarlier = "earlier"
	writerEntry   = "entry"
	writerOwner   = "owner"

	// writePause is the pause before a question or a withdrawal without success is repeated.
	writePause = 50 * time.Millisecond
)

// Codec is the format of bodies that callers see.
type Codec struct {
	DecodeJob     func(body []byte) (job.Spec, error)
	EncodePending func(count int) []byte
	EncodeState   func(state job.State) []byte

	// Key returns the key that a call carries; false where there is none that is well formed.
	// KeyScheme names how callers present one.
	Key       func(header http.Header) (string, bool)
	KeyScheme string
}

// Owners finds and calls the owners of services.
type Owners struct {
	Duty  func(service string) (*owner.Duty, bool)
	Owner func(service string) (netip.AddrPort, bool)
	Peers *peer.Client
}

// Server serves callers.
type Server struct {
	Catalog func() *catalog.Catalog

	// Operator is the state of this entry's copy of the table that holds the configuration.
	Operator *freshness.Copy

	Clock   clock.Clock
	Codec   Codec
	Figures *figures.Set
	Group   *kernel.Group
	Log     *slog.Logger
	Owners  Owners
	Table   outside.Table

	// Breakers bound how often this entry tries what fails, over all callers.
	Breakers *outside.Breakers

	// Slow reports whether the store takes much longer than on a calm day.
	Slow func() bool

	// ReadPause returns the mean time between two questions that this entry answers
	// from rows, so that those of all entries leave reads for owners that begin.
	ReadPause func() time.Duration

	// RowBytes is the most bytes of a record. A larger one would be refused by the
	// store, and with it every other record of the same transaction.
	RowBytes int

	// Queues knows which services may have jobs of a queue.
	Queues *queue.Book

	// DeadlineHeader names the header with the caller's patience in
	// milliseconds.
	DeadlineHeader string

	// OfferTime is how long a job is offered that is not accepted, and at most a quarter of
	// the caller's deadline.
	OfferTime time.Duration

	// Admits reports whether a caller may see and cancel a job. If it is nil, the catalog decides.
	Admits func(caller catalog.Caller, of catalog.JobOwner) bool

	// large is held while a large body is decoded.
	large sync.Mutex

	looks  ownerLooks
	offers offers
	reads  readPace
}

// request is one call of a caller on a known queue.
type request struct {
	*gin.Context

	ctx context.Context
	id  string

	// route is as of the given version of the configuration. A newer placement of the queue replaces
	// its service.
	route   catalog.Route
	version int64

	// organisation is whose key the call carries; empty for none.
	organisation string
}

// follow replaces the service of the request's route by that of a placement.
func (r *request) follow(view queue.View) {
	current, _ := view.Current()
	r.route.Service = current.Name
}

// Routes adds the callers' interface to a router.
func (s *Server) Routes(router *gin.Engine) {
	s.Figures.Gauge("jobs_waiting_for_store", func() float64 { return float64(s.offers.waiting()) })
	router.NoRoute(s.serve)
}

func (s *Server) serve(c *gin.Context) {
	// The copy may be confirmed in between, so its age is looked at before its rows.
	fresh := s.isFresh(c)
	current := s.Catalog()
	if current.Version == 0 && c.Request.Method == http.MethodPost {
		s.notTaken(c, "no configuration yet")
		return
	}
	if current.Version == 0 {
		s.refuse(c, "no configuration yet")
		return
	}
	route, found := current.Match(c.Request.Host, c.Request.URL.Path)
	if !fresh && (!found || c.Request.Method == http.MethodPost || !s.Operator.Usable()) {
		s.refuseStale(c)
		return
	}
	if !found {
		s.Log.Info("request refused", "reason", "no such route", "host", c.Request.Host, "path", c.Request.URL.Path, "version", current.Version,
			"confirmed_ms_ago", s.Operator.Age().Milliseconds())
		c.Status(http.StatusNotFound)
		return
	}
	organisation, admitted := s.authenticate(c, current, route)
	if !admitted && !fresh {
		s.refuseStale(c)
		return
	}
	if !admitted {
		s.denyKey(c, current, route)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), s.patience(c))
	defer cancel()
	began := s.Clock.Now()
	defer func() {
		s.Figures.Observe("caller_"+strings.ToLower(c.Request.Method), s.Clock.Now().Sub(began), strconv.Itoa(c.Writer.Status()))
	}()
	r := &request{
		Context: c,
		ctx:     ctx,
		route:   route,
		version: current.Version,
		id:      strings.TrimPrefix(c.Request.URL.Path, route.Prefix),

		organisation: organisation,
	}
	s.answer(r, current, fresh)
}

// answer answers a call on a known queue. fresh says that any answer may rest on the configuration.
func (s *Server) answer(r *request, current *catalog.Catalog, fresh bool) {
	switch {
	case r.id == "" && r.Request.Method == http.MethodGet:
		s.pending(r)
	case (r.id == "" || strings.Contains(r.id, "/")) && !fresh:
		// There may be a route with a longer prefix.
		s.refuseStale(r.Context)
	case r.id == "" || strings.Contains(r.id, "/"):
		r.Status(http.StatusNotFound)
	case r.Request.Method == http.MethodPost:
		s.submit(r, current)
	case r.Request.Method == http.MethodGet:
		s.state(r)
	case r.Request.Method == http.MethodDelete:
		s.cancel(r)
	default:
		r.Status(http.StatusMethodNotAllowed)
	}
}

// deadline returns how long the caller waits for an answer.
func (s *Server) deadline(c *gin.Context) time.Duration {
	if text := c.GetHeader(s.DeadlineHeader); text != "" {
		if ms, err := strconv.ParseInt(text, 10, 64); err == nil && ms > 0 {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return defaultDeadline
}

// patience returns how long a caller is worked for.
func (s *Server) patience(c *gin.Context) time.Duration {
	return max(deadlineReserve, s.deadline(c)-deadlineReserve)
}

// notTaken tells a caller whose job this entry did not take when to come back. The
// answer leaves open whether the job was taken: a try at another entry may
// have written its record, or may yet, and this entry can't know of it.
func (s *Server) notTaken(c *gin.Context, reason string) {
	s.Log.Info("job not taken", "reason", reason, "path", c.Request.URL.Path)
	c.Header("Retry-After", strconv.Itoa(retryAfter))
	c.String(http.StatusGatewayTimeout, reason+"\n")
}

// isFresh reports whether any answer may rest on the configuration. A job waits for that as long as it
// is offered to a store that does not accept it: what its caller is told leaves open whether an
// earlier attempt stored it, so that coming back soon is all that the caller can do.
func (s *Server) isFresh(c *gin.Context) bool {
	if s.Operator.Fresh() {
		return true
	}
	if c.Request.Method != http.MethodPost || s.Catalog().Version == 0 {
		return false
	}
	return s.Operator.AwaitFresh(c.Request.Context(), retry.OfferUntil(s.Clock.Now(), s.OfferTime, s.deadline(c), false))
}

// refuseStale refuses a call because the configuration was confirmed too long ago for the answer to
// rest on it. Nothing was done.
func (s *Server) refuseStale(c *gin.Context) {
	s.Figures.Count("caller_refused_stale", c.Request.Method)
	s.Log.Info("configuration too old", "method", c.Request.Method, "path", c.Request.URL.Path,
		"version", s.Catalog().Version, "confirmed_ms_ago", s.Operator.Age().Milliseconds())
	if c.Request.Method == http.MethodPost {
		s.notTaken(c, reasonStale)
		return
	}
	s.refuse(c, reasonStale)
}

// refuse tells a caller that asks for something, and hands nothing in, that it has
// no answer and when to come back.
func (s *Server) refuse(c *gin.Context, reason string) {
	s.Log.Info("request refused", "reason", reason, "method", c.Request.Method, "path", c.Request.URL.Path)
	c.Header("Retry-After", strconv.Itoa(retryAfter))
	c.String(http.StatusServiceUnavailable, reason+"\n")
}

func (s *Server) submit(r *request, current *catalog.Catalog) {
	body, ok := s.read(r, current.Limits.BodyBytes)
	if !ok {
		return
	}
	spec, err := s.decode(body)
	if err == nil && len(r.id) > maxIDBytes {
		err = &job.FieldError{
			Field:  "id",
			Reason: "is longer than 64 bytes",
		}
	}
	if err != nil {
		s.Log.Info("job refused", "job", r.id, "route", r.route.Name, "reason", err.Error())
		r.String(http.StatusBadRequest, err.Error()+"\n")
		return
	}
	record := shard.Record{
		ID:             r.id,
		Route:          r.route.Name,
		Policy:         r.route.Policy,
		Spec:           spec,
		AcceptedMillis: clock.Millis(s.Clock.Now()),
		Organisation:   r.organisation,
		Address: &shard.QueueAddress{
			Host:    r.route.Host,
			Prefix:  r.route.Prefix,
			Version: r.version,
			Public:  r.route.Public,
		},
	}
	if size := len(record.Encode()); size > s.RowBytes {
		s.Log.Info("job refused", "job", r.id, "route", r.route.Name, "reason", "record too large", "bytes", size, "most", s.RowBytes)
		r.String(http.StatusRequestEntityTooLarge, "the job is larger than %d bytes\n", s.RowBytes)
		return
	}
	s.accept(r, record, current.Version)
}

// maxIDBytes bounds the id of a job; callers use 16 digits.
const maxIDBytes = 64

// describe returns the steps of a job in a line: what it needs and for how long.
func describe(spec job.Spec) string {
	var text strings.Builder
	for i := range spec.Steps {
		step := &spec.Steps[i]
		fmt.Fprintf(&text, "%dx%dm/%dMB/%dms", step.Count, step.Need.MilliCPU, step.Need.MemoryMB, step.Estimate.Milliseconds())
		if step.Lasting {
			fmt.Fprintf(&text, " lasting may_miss=%d", step.MayMiss)
		}
		if step.Filler {
			text.WriteString(" filler")
		}
		if step.Gang {
			text.WriteString(" gang")
		}
		if step.SameRack {
			text.WriteString(" same_rack")
		}
		if step.Label != "" {
			text.WriteString(" label=" + step.Label)
		}
		if step.DataRack != "" {
			text.WriteString(" data_rack=" + step.DataRack)
		}
		if step.TailTarget > 0 {
			fmt.Fprintf(&text, " tail=%dms", step.TailTarget.Milliseconds())
		}
		if step.PerWorker > 0 {
			fmt.Fprintf(&text, " per_worker=%d", step.PerWorker)
		}
		fmt.Fprintf(&text, " image=%s;", step.Image)
	}
	return text.String()
}
