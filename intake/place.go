package intake

import (
	"context"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/queue"
	"lemonstream.dev/lemonstream/shard"
)

// maxMoves bounds how often the placement of a queue is read again in one attempt.
const maxMoves = 3

// Submit places a job in its queue and submits it to a duty of this entry. One entry, that of the owner,
// keeps the placement for all.
func (s *Server) Submit(ctx context.Context, duty *owner.Duty, service string, record shard.Record) error {
	if record.Address == nil {
		// It comes from an entry of an earlier version.
		return duty.Submit(ctx, record)
	}
	for moves := 0; ; moves++ {
		stands, err := s.place(ctx, service, &record, moves > 0)
		if err != nil || stands {
			return err
		}
		err = duty.Submit(ctx, record)
		if !isMoved(err) || moves >= maxMoves {
			return err
		}
	}
}

// place sets the fence under which a record may be stored at a service, and reports whether rows of the
// job stand with a former service of its queue already: a caller may send a job again after a move. again
// says that the fence was raised since the last call. It returns a *owner.MovedError if the queue leads to
// another service by now. After any error the job was not stored.
func (s *Server) place(ctx context.Context, service string, record *shard.Record, again bool) (bool, error) {
	route := catalog.Route{
		Name:    record.Route,
		Host:    record.Address.Host,
		Prefix:  record.Address.Prefix,
		Service: service,
		Public:  record.Address.Public,
	}
	view, err := s.openQueue(ctx, route, record.Address.Version, again)
	if err != nil {
		return false, err
	}
	if current, _ := view.Current(); current.Name != service {
		if !again {
			// What this entry knows may be old.
			return s.place(ctx, service, record, true)
		}
		return false, &owner.MovedError{
			Service: service,
		}
	}
	record.Fence = &view.Fence
	return s.standsElsewhere(ctx, view, *record)
}

// openQueue returns the placement under which a job may be handed in, or withdrawn. again says that a
// fence was raised since the last one was returned.
func (s *Server) openQueue(ctx context.Context, route catalog.Route, version int64, again bool) (queue.View, error) {
	open := s.Queues.Open
	if again {
		open = s.Queues.Reopen
	}
	view, opened := s.Queues.Opened(route, version)
	var err error
	if again || !opened {
		err = s.Breakers.Try(ctx, "placing "+route.Name, func(ctx context.Context) error {
			view, err = open(ctx, route, version)
			return err
		})
	}
	if err != nil {
		return view, notPlaced(route.Name, err)
	}
	return view, nil
}

// notPlaced is the error of a job that was not stored, because it is not known where it may be.
func notPlaced(route string, cause error) error {
	return &outside.NotDoneError{
		Call:   "placing queue " + route,
		Reason: cause.Error(),
	}
}

// standsElsewhere reports whether rows of a job stand with a former service of its queue. The former
// services are closed, so that no rows can come later.
func (s *Server) standsElsewhere(ctx context.Context, view queue.View, record shard.Record) (bool, error) {
	caller := catalog.Caller{
		Organisation: record.Organisation,
		Public:       record.Address.Public,
	}
	for _, former := range view.Former() {
		found, err := s.readRows(ctx, former.Name, record.ID, caller)
		if err != nil {
			return false, notPlaced(record.Route, err)
		}
		if found.foreign {
			return false, &owner.ForeignError{
				Job: record.ID,
			}
		}
		if found.known {
			s.Log.Info("job stands with a former service", "job", record.ID, "route", record.Route, "service", former.Name)
			return true, nil
		}
		withdrawn, err := s.isWithdrawnAt(ctx, former.Name, record)
		if err != nil {
			return false, notPlaced(record.Route, err)
		}
		if withdrawn {
			return false, &owner.WithdrawnError{
				Job: record.ID,
			}
		}
	}
	return false, nil
}
