package intake

import (
	"context"
	"errors"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/queue"
	"lemonstream.dev/lemonstream/shard"
)

// FoundError reports that a job that was to be withdrawn as one without rows has rows.
type FoundError struct {
	Job     string
	Service string
}

// Error implements error.
func (e *FoundError) Error() string {
	return "job " + e.Job + " has rows at service " + e.Service
}

// withdraw withdraws a job of which no row was found, so that no earlier try to hand it in can store its
// record any more, whoever made it. It returns an error if that is not certain, or if there are rows of
// the job by now.
func (s *Server) withdraw(r *request) error {
	for moves := 0; ; moves++ {
		view, err := s.openQueue(r.ctx, r.route, r.version, moves > 0)
		if err != nil {
			return err
		}
		r.follow(view)
		var answer error
		err = s.Breakers.Try(r.ctx, "writing to "+r.route.Service, func(ctx context.Context) error {
			err := s.withdrawAt(ctx, r, view)
			var found *FoundError
			if errors.As(err, &found) || isMoved(err) {
				// The store works: other writes must not wait.
				answer = err
				return nil
			}
			return err
		})
		if err == nil {
			err = answer
		}
		if !isMoved(err) || moves >= maxMoves {
			return err
		}
	}
}

// withdrawAt is withdraw under one placement of the queue. No record can come to its former services.
func (s *Server) withdrawAt(ctx context.Context, r *request, view queue.View) error {
	for _, former := range view.Former() {
		found, err := s.readRows(ctx, former.Name, r.id, r.caller())
		if err != nil {
			return err
		}
		if found.known {
			return &FoundError{
				Job:     r.id,
				Service: former.Name,
			}
		}
	}
	service := r.route.Service
	err := s.writeWithdrawal(ctx, r, view.Fence.Queue, []outside.Check{{
		Key: owner.IntakeKey(service, r.id),
	}, {
		Key: owner.ProgressKey(service, r.id),
	}, {
		Key:     owner.FenceKey(service, view.Fence.Queue),
		Version: view.Fence.Version,
	}}, owner.WithdrawnKey)
	if err != nil {
		return err
	}
	err = s.writeWithdrawal(ctx, r, view.Fence.Queue, []outside.Check{{
		Key: owner.StandbyIntakeKey(service, r.id),
	}, {
		Key: owner.StandbyProgressKey(service, r.id),
	}, {
		Key:     owner.StandbyFenceKey(service, view.Fence.Queue),
		Version: view.Fence.StandbyVersion,
	}}, owner.StandbyWithdrawnKey)
	if err != nil {
		return err
	}
	s.Log.Info("job withdrawn before it was known", "job", r.id, "route", r.route.Name, "service", service)
	return nil
}

// writeWithdrawal writes the rows of a withdrawal to one partition of a service, under the given
// conditions. Rows of another organisation's job under the ID are no obstacle.
func (s *Server) writeWithdrawal(ctx context.Context, r *request, queue string, checks []outside.Check, key func(service, scope, id string) outside.Key) error {
	value := shard.Withdrawal{
		AtMillis: clock.Millis(s.Clock.Now()),
		Queue:    queue,
	}.Encode()
	tx := outside.Transaction{
		Checks: checks,
	}
	for _, scope := range shard.WithdrawalScopes(r.organisation, r.route.Public) {
		tx.Puts = append(tx.Puts, outside.Put{
			Key:   key(r.route.Service, scope, r.id),
			Value: value,
		})
	}
	_, err := s.Table.Transact(ctx, tx)
	var conflict *outside.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	for i, check := range tx.Checks {
		row, _ := conflict.Find(check.Key)
		if row.Version == check.Version {
			continue
		}
		of, isJob := jobOwnerIn(row)
		switch {
		case !isJob:
			return &owner.MovedError{
				Service: r.route.Service,
			}
		case s.admits(r.caller(), of):
			return &FoundError{
				Job:     r.id,
				Service: r.route.Service,
			}
		}
		tx.Checks[i].Version = row.Version
	}
	_, err = s.Table.Transact(ctx, tx)
	return err
}

// isWithdrawnAt reports whether a row of a job's withdrawal stands with a service.
func (s *Server) isWithdrawnAt(ctx context.Context, service string, record shard.Record) (bool, error) {
	for _, scope := range record.WithdrawalScopes() {
		row, err := s.Table.Row(ctx, owner.WithdrawnKey(service, scope, record.ID))
		if err != nil || row != nil {
			return row != nil, err
		}
	}
	return false, nil
}
