package intake

import (
	"context"
	"errors"
	"slices"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/queue"
	"lemonstream.dev/lemonstream/shard"
)

// tryReading is readState, unless the rows of the service could not be read a moment
// ago, or others of this entry's questions have their turn before.
func (s *Server) tryReading(r *request, service string) (shard.Progress, string, error) {
	pause := s.ReadPause()
	if !s.reads.turn(r.ctx, s.Clock, pause) {
		return shard.Progress{}, "", &QueuedError{
			Service: service,
		}
	}
	var progress shard.Progress
	var found string
	tried := false
	err := s.Breakers.Try(r.ctx, "reading of "+service, func(ctx context.Context) error {
		tried = true
		var err error
		progress, found, err = s.readState(ctx, r, service)
		return err
	})
	if !tried {
		s.reads.giveBack(pause)
	}
	return progress, found, err
}

// readState reads the state of a job from the rows of its service, of the other services that may have
// jobs of its queue, and of all others in the configuration, where an entry of an earlier version may
// have written it. It returns the service that holds the job, or an empty one where none does. A job
// that the caller may not see is read past: it takes the same reads as an unknown one.
func (s *Server) readState(ctx context.Context, r *request, service string) (shard.Progress, string, error) {
	found, at, denied, err := s.readServices(ctx, r, []string{service})
	if err != nil || at != "" {
		return found.progress, at, err
	}
	placement, err := s.Queues.Read(ctx, r.route)
	if err != nil {
		return shard.Progress{}, "", err
	}
	found, at, deniedElsewhere, err := s.readServices(ctx, r, s.otherServices(placement, service))
	if err != nil || at != "" {
		return found.progress, at, err
	}
	if denied || deniedElsewhere {
		s.Log.Info("job of another organisation", "job", r.id, "route", r.route.Name, "method", r.Request.Method, "organisation", r.organisation)
		s.Figures.Count("job_access_denied", r.Request.Method)
	}
	return shard.Progress{}, "", nil
}

// otherServices returns the services of a placement and then those of the configuration, each once and
// without the given one.
func (s *Server) otherServices(placement queue.Placement, but string) []string {
	var list []string
	add := func(name string) {
		if name != but && !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	for _, other := range placement.Services {
		add(other.Name)
	}
	for _, other := range s.Catalog().Services {
		add(other.Name)
	}
	return list
}

// readServices reads a job from the rows of services in turn, until one has it. denied says that one
// has a job that the caller may not see.
func (s *Server) readServices(ctx context.Context, r *request, services []string) (found jobRows, at string, denied bool, err error) {
	for _, service := range services {
		found, err = s.readRows(ctx, service, r.id, r.caller())
		if err != nil || found.known {
			return found, service, denied, err
		}
		denied = denied || found.foreign
	}
	return jobRows{}, "", denied, nil
}

// jobRows is what the rows of a job say.
type jobRows struct {
	progress shard.Progress

	// known says that there are rows, and that the caller may see the job. foreign says that
	// there are rows of a job that the caller may not see.
	known   bool
	foreign bool
}

// readRows reads the state of a job from the rows of one service: from its own part,
// and where that has nothing, or can't be read, from its standby part.
func (s *Server) readRows(ctx context.Context, service, id string, caller catalog.Caller) (jobRows, error) {
	own, err := s.readPair(ctx, owner.IntakeKey(service, id), owner.ProgressKey(service, id), caller)
	if own.known && err == nil && own.progress.State.Final() {
		return own, nil
	}
	standby, standbyErr := s.readPair(ctx, owner.StandbyIntakeKey(service, id), owner.StandbyProgressKey(service, id), caller)
	// A row of an earlier version names no organisation: what the other part names holds for it.
	foreign := own.foreign || (standbyErr == nil && standby.foreign)
	if foreign {
		return jobRows{
			foreign: true,
		}, errors.Join(err, standbyErr)
	}
	if standby.known && standbyErr == nil && (standby.progress.State.Final() || !own.known) {
		return standby, nil
	}
	if err == nil && !own.known {
		err = standbyErr
	}
	return own, err
}

// readPair reads the progress of a job from its record and its progress row.
func (s *Server) readPair(ctx context.Context, intake, progress outside.Key, caller catalog.Caller) (jobRows, error) {
	// The record goes in the transaction that writes the final state, so it is
	// read first: what is missing there is in the progress that is read later.
	record, err := s.Table.Row(ctx, intake)
	if err != nil {
		return jobRows{}, err
	}
	row, err := s.Table.Row(ctx, progress)
	if err != nil || (record == nil && row == nil) {
		return jobRows{}, err
	}
	found := jobRows{
		progress: shard.Progress{
			State: job.Queued,
		},
	}
	if row != nil {
		found.progress, err = shard.DecodeProgress(row.Value)
	}
	of := found.progress.Owner()
	if record != nil && of.Organisation == "" && err == nil {
		of, err = shard.DecodeJobOwner(record.Value)
	}
	found.known = s.admits(caller, of)
	found.foreign = !found.known
	return found, err
}

// admits reports whether a caller may see and cancel a job.
func (s *Server) admits(caller catalog.Caller, of catalog.JobOwner) bool {
	if s.Admits != nil {
		return s.Admits(caller, of)
	}
	return s.Catalog().Admits(caller, of)
}

// caller says on whose behalf the call is made.
func (r *request) caller() catalog.Caller {
	return catalog.Caller{
		Organisation: r.organisation,
		Public:       r.route.Public,
	}
}
