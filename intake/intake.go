// Package intake serves callers: it takes jobs in, shows their state, withdraws
// them and counts those that wait. Any entry serves any caller. A job counts as
// accepted once its record stands in the table; nothing is answered that a
// later owner could contradict.
package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/figures"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/peer"
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

	// retryAfter is what a refused caller is told to wait, in whole seconds,
	// the header's unit: outages of the store that are worth waiting for are
	// over within seconds.
	retryAfter = 1

	// refuseAfter is how long a job is offered to a store that certainly does not
	// take it. A caller that comes back in a second is served sooner than one
	// whose only try is held here, and a late refusal is dearer than an early
	// one.
	refuseAfter = 150 * time.Millisecond

	// handInLook is the time between two looks whether an owner that does not
	// answer still works; handInStale is how old its last write may be. With the
	// store 60 times slower one takes 0.6 s, and two follow each other.
	handInLook  = 400 * time.Millisecond
	handInStale = 1500 * time.Millisecond

	// Who wrote the record of a job: its owner, this entry, or somebody before the
	// job's route was moved.
	writerEarlier = "earlier"
	writerEntry   = "entry"
	writerOwner   = "owner"

	// refuseShare is the part of a caller's deadline that this may take at most, as
	// a divisor: a caller's last tries leave little time, and one that is held for
	// half of it can't come back.
	refuseShare = 4

	// writePause is the pause before a write without success is repeated.
	writePause = 50 * time.Millisecond
)

// Codec is the format of bodies that callers see.
type Codec struct {
	DecodeJob     func(body []byte) (job.Spec, error)
	EncodePending func(count int) []byte
	EncodeState   func(state job.State) []byte
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
	Clock   clock.Clock
	Codec   Codec
	Figures *figures.Set
	Group   *kernel.Group
	Log     *slog.Logger
	Owners  Owners
	Table   outside.Table

	// Slow reports whether the store takes much longer than on a calm day.
	Slow func() bool

	// RowBytes is the most bytes of a record. A larger one would be refused by the
	// store, and with it every other record of the same transaction.
	RowBytes int

	// Moved returns the service that a route led to until a moment ago.
	Moved func(route string) (string, bool)

	// DeadlineHeader names the header with the caller's patience in
	// milliseconds.
	DeadlineHeader string
}

// request is one call of a caller on a known queue.
type request struct {
	*gin.Context

	ctx   context.Context
	route catalog.Route
	id    string
}

// Routes adds the callers' interface to a router.
func (s *Server) Routes(router *gin.Engine) {
	router.NoRoute(s.serve)
}

func (s *Server) serve(c *gin.Context) {
	current := s.Catalog()
	if current.Version == 0 {
		s.refuse(c, "no configuration yet")
		return
	}
	route, found := current.Match(c.Request.Host, c.Request.URL.Path)
	if !found {
		s.Log.Info("request refused", "reason", "no such route", "host", c.Request.Host, "path", c.Request.URL.Path, "version", current.Version)
		c.Status(http.StatusNotFound)
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
		id:      strings.TrimPrefix(c.Request.URL.Path, route.Prefix),
	}
	switch {
	case r.id == "" && c.Request.Method == http.MethodGet:
		s.pending(r)
	case r.id == "" || strings.Contains(r.id, "/"):
		c.Status(http.StatusNotFound)
	case c.Request.Method == http.MethodPost:
		s.submit(r, current)
	case c.Request.Method == http.MethodGet:
		s.state(r)
	case c.Request.Method == http.MethodDelete:
		s.cancel(r)
	default:
		c.Status(http.StatusMethodNotAllowed)
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

// refuse tells a caller that nothing was done and when to come back.
func (s *Server) refuse(c *gin.Context, reason string) {
	s.Log.Info("request refused", "reason", reason, "method", c.Request.Method, "path", c.Request.URL.Path)
	c.Header("Retry-After", strconv.Itoa(retryAfter))
	c.String(http.StatusServiceUnavailable, reason+"\n")
}

func (s *Server) submit(r *request, current *catalog.Catalog) {
	limit := current.Limits.BodyBytes
	body, err := io.ReadAll(io.LimitReader(r.Request.Body, limit+1))
	if err != nil {
		r.String(http.StatusBadRequest, "the body ended early\n")
		return
	}
	if int64(len(body)) > limit {
		r.Status(http.StatusRequestEntityTooLarge)
		return
	}
	spec, err := s.Codec.DecodeJob(body)
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

// accept makes the record of a job stand and answers. The answer is 503 only if
// no try can take effect any more.
func (s *Server) accept(r *request, record shard.Record, catalogVersion int64) {
	uncertain := false
	began := s.Clock.Now()
	refusing := min(refuseAfter, s.deadline(r.Context)/refuseShare)
	for {
		writer, err := s.take(r, record, &uncertain)
		if err == nil {
			s.accepted(r, record, writer, catalogVersion)
			return
		}
		refusable := !uncertain && s.Clock.Now().Sub(began)+writePause > refusing
		if !refusable && clock.Sleep(r.ctx, writePause) {
			continue
		}
		s.Log.Warn("job not accepted", "job", record.ID, "route", record.Route, "uncertain", uncertain, "error", err.Error())
		if uncertain {
			r.Status(http.StatusGatewayTimeout)
			return
		}
		s.refuse(r.Context, "the store does not take the job")
		return
	}
}

// take tries once to make the record of a job stand, and returns who wrote it.
// uncertain is set where a try without success may yet have an effect.
func (s *Server) take(r *request, record shard.Record, uncertain *bool) (string, error) {
	stands, err := s.standsElsewhere(r, record)
	if err != nil || stands {
		return writerEarlier, err
	}
	atOwner := s.handIn(r.ctx, r.route.Service, record)
	if atOwner == nil {
		return writerOwner, nil
	}
	*uncertain = *uncertain || mayBeTaken(atOwner)
	if s.Slow() && !isNotOwner(atOwner) {
		return "", fmt.Errorf("the store is slow, and at the owner: %w", atOwner)
	}
	err = s.write(r.ctx, r.route.Service, record, *uncertain)
	if err == nil {
		return writerEntry, nil
	}
	*uncertain = *uncertain || outside.IsUncertain(err)
	return "", fmt.Errorf("at the owner: %w; at this entry: %w", atOwner, err)
}

func (s *Server) accepted(r *request, record shard.Record, writer string, catalogVersion int64) {
	s.Log.Info("job accepted", "job", record.ID, "route", record.Route, "service", r.route.Service,
		"writer", writer, "catalog", catalogVersion, "steps", describe(record.Spec))
	r.Status(http.StatusOK)
}

// write writes the record of a job itself, which needs no owner, and tells the
// owner. A record that stands already is a success; known says that it may be an
// earlier try of this very request that wrote it.
func (s *Server) write(ctx context.Context, service string, record shard.Record, known bool) error {
	receipt, err := s.Table.Transact(ctx, s.transaction(service, record))
	var conflict *outside.ConflictError
	switch {
	case err == nil:
		s.tell(service, record, receipt.Version)
	case errors.As(err, &conflict):
		s.Log.Info("job known already", "job", record.ID, "route", record.Route)
		if known {
			s.tell(service, record, 0)
		}
	default:
		return err
	}
	return nil
}

func (s *Server) transaction(service string, record shard.Record) outside.Transaction {
	key := owner.IntakeKey(service, record.ID)
	return outside.Transaction{
		Checks: []outside.Check{{
			Key: key,
		}, {
			Key: owner.ProgressKey(service, record.ID),
		}},
		Puts: []outside.Put{{
			Key:   key,
			Value: record.Encode(),
		}},
	}
}

// tell makes the owner of the service aware of a job. It does not hold up the
// answer; what is lost here the owner finds in the table.
func (s *Server) tell(service string, record shard.Record, version int64) {
	s.Group.Go("offer", func(ctx context.Context) error {
		for try := 0; try < offerTries; try++ {
			err := s.offer(ctx, service, record, version, try == 0)
			if err == nil {
				return nil
			}
			s.Log.Info("owner not told", "job", record.ID, "service", service, "try", try, "error", err.Error())
			if !clock.Sleep(ctx, offerPause) {
				return nil
			}
		}
		return nil
	})
}

func (s *Server) offer(ctx context.Context, service string, record shard.Record, version int64, first bool) error {
	if duty, mine := s.Owners.Duty(service); mine {
		return duty.Offer(record, version, first)
	}
	address, known := s.Owners.Owner(service)
	if !known {
		return &peer.NotOwnerError{
			Service: service,
		}
	}
	return s.Owners.Peers.Offer(ctx, address, service, record, version, first)
}

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
