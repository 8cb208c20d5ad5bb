package intake

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/queue"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// cancelPatience bounds the wait for a cancellation to be written by a duty
	// of this entry.
	cancelPatience = 1200 * time.Millisecond

	// cancelValue is the value of a cancellation's row; the store takes no row
	// without one.
	cancelValue = "cancel"

	contentJSON = "application/json"
)

// QueuedError reports that so many questions wait to be answered from the rows of a
// service that this one would not be answered in its time.
type QueuedError struct {
	Service string
}

// StaleError reports that an answer would rest on a configuration that was confirmed too long ago.
type StaleError struct{}

// Error implements error.
func (e *StaleError) Error() string {
	return reasonStale
}

// Error implements error.
func (e *QueuedError) Error() string {
	return "too many questions wait for the rows of " + e.Service
}

// state answers with the state of a job: the owner's word where it can be had,
// else what the rows say. Only the rows can say that a job does not exist.
func (s *Server) state(r *request) {
	for {
		if state, known := s.askOwner(r, r.route.Service); known {
			s.show(r, state, "owner", nil)
			return
		}
		progress, service, err := s.tryReading(r, r.route.Service)
		if err == nil && service == "" && !s.Operator.Fresh() {
			// The service that has the job may be missing from the list.
			s.refuseStale(r.Context)
			return
		}
		if err == nil && service == "" {
			s.Log.Info("job unknown", "job", r.id, "route", r.route.Name)
			r.Status(http.StatusGone)
			return
		}
		if err == nil {
			s.show(r, progress.State, "rows of "+service, progress.Failure)
			return
		}
		var queued *QueuedError
		if errors.As(err, &queued) || !clock.Sleep(r.ctx, writePause) {
			s.refuse(r.Context, "the state can't be read")
			return
		}
	}
}

// show answers with the state of a job. It logs where it learned that a job failed, and why where
// the rows say so: the entry that failed it may be gone by the time someone asks.
func (s *Server) show(r *request, state job.State, source string, failure *shard.Failure) {
	if state == job.Failed {
		fields := []any{
			"job", r.id, "route", r.route.Name, "service", r.route.Service, "source", source,
		}
		s.Log.Info("job shown as failed", append(fields, failure.LogFields()...)...)
	}
	r.Data(http.StatusOK, contentJSON, s.Codec.EncodeState(state))
}

func (s *Server) askOwner(r *request, service string) (job.State, bool) {
	if duty, mine := s.Owners.Duty(service); mine {
		return duty.State(r.caller(), r.id)
	}
	address, known := s.Owners.Owner(service)
	if !known {
		return "", false
	}
	var state job.State
	var found bool
	err := s.tryOwner(r.ctx, asking, service, address, func(ctx context.Context) error {
		var err error
		state, found, err = s.Owners.Peers.State(ctx, address, service, r.caller(), r.id)
		return err
	})
	return state, found && err == nil
}

// cancel withdraws a job.
func (s *Server) cancel(r *request) {
	for {
		status, err := s.tryCancelling(r)
		var stale *StaleError
		if errors.As(err, &stale) {
			s.refuseStale(r.Context)
			return
		}
		if err == nil {
			r.Status(status)
			return
		}
		if !clock.Sleep(r.ctx, writePause) {
			s.Log.Warn("job not cancelled", "job", r.id, "error", err.Error())
			r.Status(http.StatusGatewayTimeout)
			return
		}
	}
}

// tryCancelling withdraws a job at the owner that has it. Where none can be asked, or
// it has not heard of the job, the entry writes the wish itself, and the owner finds
// it. A job without any row is kept from being stored later. It returns the status of the answer.
func (s *Server) tryCancelling(r *request) (int, error) {
	if s.cancelAtOwner(r, r.route.Service) {
		return http.StatusOK, nil
	}
	progress, service, err := s.tryReading(r, r.route.Service)
	if err != nil {
		return 0, err
	}
	if service == "" && !s.Operator.Fresh() {
		return 0, &StaleError{}
	}
	if service == "" {
		return http.StatusGone, s.withdraw(r)
	}
	if progress.State.Final() {
		return http.StatusGone, nil
	}
	// The job stays with the service that its route had when it was accepted.
	if service != r.route.Service && s.cancelAtOwner(r, service) {
		return http.StatusOK, nil
	}
	if err := s.writeCancel(r.ctx, service, r.id); err != nil {
		return 0, err
	}
	s.Log.Info("cancellation written", "job", r.id, "service", service)
	return http.StatusOK, nil
}

// cancelAtOwner asks the owner. It reports true where the owner has the job and its
// cancellation is written; one that answers and does not know the job has cancelled
// nothing.
func (s *Server) cancelAtOwner(r *request, service string) bool {
	if duty, mine := s.Owners.Duty(service); mine {
		bounded, stop := context.WithTimeout(r.ctx, cancelPatience)
		defer stop()
		known, err := duty.Cancel(bounded, r.caller(), r.id)
		return known && err == nil
	}
	address, found := s.Owners.Owner(service)
	if !found {
		return false
	}
	known := false
	err := s.tryOwner(r.ctx, asking, service, address, func(ctx context.Context) error {
		var err error
		known, err = s.Owners.Peers.Cancel(ctx, address, service, r.caller(), r.id)
		return err
	})
	return known && err == nil
}

func (s *Server) writeCancel(ctx context.Context, service, id string) error {
	key := owner.CancelKey(service, id)
	err := s.Breakers.Try(ctx, "writing to "+service, func(ctx context.Context) error {
		_, err := s.Table.Transact(ctx, outside.Transaction{
			Puts: []outside.Put{{
				Key:   key,
				Value: []byte(cancelValue),
			}},
		})
		return err
	})
	var conflict *outside.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// pending answers with the count of the queue's jobs that have not begun.
func (s *Server) pending(r *request) {
	for {
		if count, known := s.countAtOwner(r); known {
			r.Data(http.StatusOK, contentJSON, s.Codec.EncodePending(count))
			return
		}
		if !clock.Sleep(r.ctx, writePause) {
			s.refuse(r.Context, "the count can't be read")
			return
		}
	}
}

// countAtOwner asks the owner of the route's service, and those of all services that may have jobs of
// the queue: a job stays with the service that accepted it, under the route of that time.
func (s *Server) countAtOwner(r *request) (int, bool) {
	sum, services, known := s.countAt(r.ctx, r.route.Service, r.route, r.version)
	for _, service := range services {
		_, listed := s.Catalog().Service(service.Name)
		for _, name := range service.Routes {
			if !listed || !known || (service.Name == r.route.Service && name == r.route.Name) {
				continue
			}
			var count int
			count, _, known = s.countAt(r.ctx, service.Name, catalog.Route{
				Name: name,
			}, 0)
			sum += count
		}
	}
	return sum, known
}

// countAt asks the owner of a service for the count of a route, and, if the route has a host, for the
// services that may have jobs of its queue.
func (s *Server) countAt(ctx context.Context, service string, route catalog.Route, version int64) (int, []queue.Service, bool) {
	if duty, mine := s.Owners.Duty(service); mine {
		count, known := duty.Pending(route.Name)
		if !known || route.Host == "" {
			return count, nil, known
		}
		placement, err := s.Queues.Placement(ctx, route, version)
		if err != nil {
			s.Log.Info("placement of queue not read", "route", route.Name, "error", err.Error())
		}
		return count, placement.Services, err == nil
	}
	address, known := s.Owners.Owner(service)
	if !known {
		return 0, nil, false
	}
	count := 0
	var services []queue.Service
	err := s.tryOwner(ctx, asking, service, address, func(ctx context.Context) error {
		var err error
		count, services, err = s.Owners.Peers.Pending(ctx, address, service, route, version)
		return err
	})
	return count, services, err == nil
}
