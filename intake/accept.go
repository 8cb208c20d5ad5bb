package intake

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"lemonstream.dev/lemonstream/backlog"
	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/peer"
	"lemonstream.dev/lemonstream/retry"
	"lemonstream.dev/lemonstream/shard"
)

// accept stores the record of a job and answers. A job that is not accepted is tried again until its
// offer time is up; its caller comes back with the same id, also at another entry. An attempt that has
// begun is awaited.
func (s *Server) accept(r *request, record shard.Record, catalogVersion int64) {
	began := s.Clock.Now()
	o := &offer{
		began:      began,
		queue:      s.offers.queue(r.route.Service, s.Clock, s.Group),
		writeUntil: retry.WriteUntil(began, s.deadline(r.Context)),
	}
	var last error
	for {
		until := retry.OfferUntil(o.began, s.OfferTime, s.deadline(r.Context), o.uncertain)
		attempt, result := o.nextAttempt(r.ctx, until)
		if result != "" {
			s.giveUp(r, record, o, result, last)
			return
		}
		o.attempts++
		writer, err := s.take(r, record, o)
		var away *owner.RefusedError
		if errors.As(err, &away) {
			// The refusal is a row of the store.
			o.queue.end(attempt, retry.StoredByOwner)
			s.countOffer(o, offerRefused)
			s.turnAway(r, record, away.RetryAfter)
			return
		}
		o.queue.end(attempt, resultOf(r, writer, err))
		if isForeign(err) || isWithdrawn(err) {
			s.countOffer(o, offerRefused)
			s.deny(r, record, err)
			return
		}
		if err == nil {
			s.countOffer(o, offerAccepted)
			s.accepted(r, record, writer, catalogVersion)
			return
		}
		last = err
	}
}

// giveUp answers the caller of a job that is no longer offered.
func (s *Server) giveUp(r *request, record shard.Record, o *offer, result string, last error) {
	s.countOffer(o, result)
	cause := "not tried"
	if last != nil {
		cause = last.Error()
	}
	s.Log.Warn("job not accepted", "job", record.ID, "route", record.Route, "result", result, "uncertain", o.uncertain,
		"attempts", o.attempts, "error", cause)
	s.notTaken(r.Context, reasonOf(result))
}

// take makes one attempt to store the record of a job, and returns who wrote it. o.uncertain is set
// if an attempt without success may yet have an effect.
func (s *Server) take(r *request, record shard.Record, o *offer) (string, error) {
	for moves := 0; ; moves++ {
		writer, err := s.takeAt(r, record, o)
		if !isMoved(err) || moves >= maxMoves {
			return writer, err
		}
		s.Log.Info("placement of queue read again", "job", record.ID, "route", record.Route, "service", r.route.Service, "error", err.Error())
		view, err := s.openQueue(r.ctx, r.route, r.version, true)
		if err != nil {
			return "", err
		}
		r.follow(view)
	}
}

// takeAt is take at the service that the queue leads to as far as this entry knows.
func (s *Server) takeAt(r *request, record shard.Record, o *offer) (string, error) {
	atOwner := s.handIn(r.ctx, r.route.Service, record)
	if atOwner == nil {
		return writerOwner, nil
	}
	if isAnswer(atOwner) {
		return "", atOwner
	}
	o.uncertain = o.uncertain || mayBeTaken(atOwner)
	if s.Slow() && !isNotOwner(atOwner) {
		return "", fmt.Errorf("the store is slow, and at the owner: %w", atOwner)
	}
	if !s.Clock.Now().Before(o.writeUntil) {
		return "", fmt.Errorf("too late for a write, and at the owner: %w", atOwner)
	}
	stands, err := s.place(r.ctx, r.route.Service, &record, false)
	if isAnswer(err) || stands {
		return writerEarlier, err
	}
	if err != nil {
		return "", fmt.Errorf("at the owner: %w; at this entry: %w", atOwner, err)
	}
	var answer error
	err = s.Breakers.Try(r.ctx, "writing to "+r.route.Service, func(ctx context.Context) error {
		err := s.write(ctx, r.route.Service, record, o.uncertain)
		if isAnswer(err) {
			// The store works: other writes must not wait.
			answer = err
			return nil
		}
		return err
	})
	if err == nil {
		return writerEntry, answer
	}
	o.uncertain = o.uncertain || outside.IsUncertain(err)
	return "", fmt.Errorf("at the owner: %w; at this entry: %w", atOwner, err)
}

func (s *Server) accepted(r *request, record shard.Record, writer string, catalogVersion int64) {
	s.Log.Info("job accepted", "job", record.ID, "route", record.Route, "organisation", record.Organisation, "service", r.route.Service,
		"writer", writer, "catalog", catalogVersion, "confirmed_ms_ago", s.Operator.Age().Milliseconds(), "steps", describe(record.Spec))
	r.Status(http.StatusOK)
}

// turnAway tells a caller that its job does not run, and when to submit it again. A refusal by the
// owner is valid for all earlier attempts, at any entry.
func (s *Server) turnAway(r *request, record shard.Record, comeBack time.Duration) {
	s.Log.Info("job refused", "job", record.ID, "route", record.Route, "reason", "too much to do", "come_back_ms", comeBack.Milliseconds())
	s.Figures.Count("job_turned_away", record.Route)
	r.Header("Retry-After", strconv.Itoa(int(math.Ceil(comeBack.Seconds()))))
	r.String(http.StatusTooManyRequests, "too much to do; the job was not taken\n")
}

// deny tells a caller that its job was not taken, because its ID is that of another organisation's
// job, or of one that was withdrawn a short time ago.
func (s *Server) deny(r *request, record shard.Record, cause error) {
	if isWithdrawn(cause) {
		s.Log.Info("job refused", "job", record.ID, "route", record.Route, "reason", "the job was withdrawn")
		r.String(http.StatusConflict, "the job was withdrawn; it was not taken\n")
		return
	}
	s.Log.Info("job refused", "job", record.ID, "route", record.Route, "reason", "the ID is that of another organisation's job", "organisation", record.Organisation)
	s.Figures.Count("job_access_denied", r.Request.Method)
	r.String(http.StatusConflict, "the id is in use; the job was not taken\n")
}

// write writes the record of a job itself, which needs no owner, and tells the
// owner. A record that stands already is a success; known says that it may be an
// earlier try of this very request that wrote it.
func (s *Server) write(ctx context.Context, service string, record shard.Record, known bool) error {
	receipt, err := s.Table.Transact(ctx, s.transaction(service, record, 0))
	if row, refused := refusalIn(err); refused {
		refusal, decodeErr := shard.DecodeRefusal(row.Value)
		if decodeErr != nil {
			return decodeErr
		}
		if refusal.Covers(record) {
			return &owner.RefusedError{
				Service:    service,
				RetryAfter: backlog.MinRetryAfter,
			}
		}
		// The caller has come back since: it is lifted with the write.
		receipt, err = s.Table.Transact(ctx, s.transaction(service, record, row.Version))
	}
	var conflict *outside.ConflictError
	switch {
	case s.isForeign(record, err):
		return &owner.ForeignError{
			Job: record.ID,
		}
	case err == nil:
		s.tell(service, record, receipt.Version)
	case errors.As(err, &conflict) && !recordIn(conflict) && withdrawalIn(conflict):
		return &owner.WithdrawnError{
			Job: record.ID,
		}
	case errors.As(err, &conflict) && !recordIn(conflict) && fenceRaised(service, record, conflict):
		return &owner.MovedError{
			Service: service,
		}
	case errors.As(err, &conflict) && !recordIn(conflict):
		// Another refusal has come in between.
		return &outside.NotDoneError{
			Call:   "writing a job",
			Reason: err.Error(),
		}
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

// refusalIn returns the row of a refusal that is all that stood in the way of a record.
func refusalIn(err error) (outside.Row, bool) {
	var conflict *outside.ConflictError
	if !errors.As(err, &conflict) || recordIn(conflict) {
		return outside.Row{}, false
	}
	for _, row := range conflict.Rows {
		if row.Key.Table == owner.RefusedKey("", "").Table {
			return row, true
		}
	}
	return outside.Row{}, false
}

// isForeign reports whether the rows that stood in the way of a record are those of another
// organisation's job.
func (s *Server) isForeign(record shard.Record, err error) bool {
	var conflict *outside.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	route, _ := s.Catalog().Route(record.Route)
	caller := catalog.Caller{
		Organisation: record.Organisation,
		Public:       route.Public,
	}
	for _, row := range conflict.Rows {
		if of, known := jobOwnerIn(row); known && !s.admits(caller, of) {
			return true
		}
	}
	return false
}

// jobOwnerIn returns whose job a row belongs to; false where the row does not tell.
func jobOwnerIn(row outside.Row) (catalog.JobOwner, bool) {
	if row.Version == 0 {
		return catalog.JobOwner{}, false
	}
	switch row.Key.Table {
	case owner.ProgressKey("", "").Table:
		progress, err := shard.DecodeProgress(row.Value)
		return progress.Owner(), err == nil
	case owner.IntakeKey(row.Key.Part, "").Table:
		of, err := shard.DecodeJobOwner(row.Value)
		return of, err == nil
	default:
		return catalog.JobOwner{}, false
	}
}

// recordIn reports whether a job was known already: its record or its progress stands.
func recordIn(conflict *outside.ConflictError) bool {
	for _, row := range conflict.Rows {
		isRecord := row.Key.Table == owner.IntakeKey(row.Key.Part, "").Table
		if (isRecord || row.Key.Table == owner.ProgressKey("", "").Table) && row.Version != 0 {
			return true
		}
	}
	return false
}

// withdrawalIn reports whether the job was withdrawn.
func withdrawalIn(conflict *outside.ConflictError) bool {
	return slices.ContainsFunc(conflict.Rows, func(row outside.Row) bool {
		return row.Key.Table == owner.WithdrawnKey("", "", "").Table
	})
}

// fenceRaised reports whether the fence of a job's queue was raised since the job was handed in.
func fenceRaised(service string, record shard.Record, conflict *outside.ConflictError) bool {
	row, _ := conflict.Find(owner.FenceKey(service, record.Fence.Queue))
	return row.Version != record.Fence.Version
}

// transaction writes the record of a job under the condition that the job is not known and was not
// withdrawn, and that its queue has not moved.
// refusal is the version of the refusal that it lifts, 0 where none may stand.
func (s *Server) transaction(service string, record shard.Record, refusal int64) outside.Transaction {
	key := owner.IntakeKey(service, record.ID)
	refused := owner.RefusedKey(service, record.ID)
	tx := outside.Transaction{
		Checks: []outside.Check{{
			Key: key,
		}, {
			Key: owner.ProgressKey(service, record.ID),
		}, {
			Key:     refused,
			Version: refusal,
		}, {
			Key:     owner.FenceKey(service, record.Fence.Queue),
			Version: record.Fence.Version,
		}},
		Puts: []outside.Put{{
			Key:   key,
			Value: record.Encode(),
		}},
	}
	for _, scope := range record.WithdrawalScopes() {
		tx.Checks = append(tx.Checks, outside.Check{
			Key: owner.WithdrawnKey(service, scope, record.ID),
		})
	}
	if refusal != 0 {
		tx.Removes = []outside.Key{refused}
	}
	return tx
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
