package intake

import (
	"context"
	"errors"
	"net/netip"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/shard"
)

// standsElsewhere reports whether the record of a job stands with the service that
// its route led to until a moment ago: a caller may send a job again after a move.
func (s *Server) standsElsewhere(r *request, record shard.Record) (bool, error) {
	from, moved := s.Moved(record.Route)
	if !moved {
		return false, nil
	}
	_, stands, err := s.readRows(r.ctx, from, record.ID)
	return stands, err
}

// place returns where the owner of a service is, as far as this entry knows.
func (s *Server) place(service string) (place, bool) {
	if duty, mine := s.Owners.Held(service); mine {
		return place{
			duty: duty,
		}, true
	}
	address, known := s.Owners.Owner(service)
	return place{
		address: address,
	}, known
}

// handInAt hands jobs in at the owner of their service, whose transactions hold many
// records: a part of the store takes them one after another, and would be full of
// those of single jobs whenever it is slow. It returns what became of each. The entry
// gives up on an owner that does not answer and does not write.
func (s *Server) handInAt(ctx context.Context, to place, service string, records []shard.Record) []error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer := make(chan []error, 1)
	s.Group.Go("call of the owner", func(context.Context) error {
		answer <- s.submitAt(ctx, to, service, records)
		return nil
	})
	for {
		select {
		case errs := <-answer:
			return errs
		case <-s.Clock.After(handInLook):
		}
		if s.works(ctx, to, service) {
			continue
		}
		s.Log.Info("owner does not take the jobs", "jobs", len(records), "service", service)
		return each(len(records), &outside.UncertainError{
			Call:  "handing in at the owner of " + service,
			Cause: context.DeadlineExceeded,
		})
	}
}

// submitAt makes the call.
func (s *Server) submitAt(ctx context.Context, to place, service string, records []shard.Record) []error {
	if to.duty != nil {
		return to.duty.SubmitAll(ctx, records)
	}
	var errs []error
	var gone error
	err := s.tryOwner(ctx, handingIn, service, to.address, func(ctx context.Context) error {
		var err error
		if len(records) == 1 {
			err = s.Owners.Peers.Submit(ctx, to.address, service, records[0])
			errs = []error{err}
		} else {
			errs, err = s.Owners.Peers.SubmitAll(ctx, to.address, service, records)
		}
		if isNoOwner(err) {
			// An entry that owns nothing answers well. How soon it is asked again the
			// desk decides.
			gone = err
			return nil
		}
		return err
	})
	if gone != nil {
		err = gone
	}
	if err != nil {
		return each(len(records), err)
	}
	return errs
}

// works asks an owner that has not answered yet whether it writes.
func (s *Server) works(ctx context.Context, to place, service string) bool {
	if to.duty != nil {
		return to.duty.WriteAge() < handInStale
	}
	return s.ownerWorks(ctx, to.address, service)
}

// each returns a list of one error.
func each(n int, err error) []error {
	errs := make([]error, n)
	for i := range errs {
		errs[i] = err
	}
	return errs
}

// purpose is what the owner of a service is called for. One that takes no jobs may
// well tell of those that it has.
type purpose string

const (
	asking    purpose = "asking"
	handingIn purpose = "handing in at"
)

// tryOwner calls another entry that owns a service, unless the last such call was
// without success a moment ago. A call that was not made certainly has no effect.
func (s *Server) tryOwner(ctx context.Context, why purpose, service string, address netip.AddrPort, call func(context.Context) error) error {
	return s.Breakers.Try(ctx, string(why)+" "+address.String()+" for "+service, func(ctx context.Context) error {
		err := call(ctx)
		if err != nil {
			s.Log.Info("owner not asked", "purpose", string(why), "service", service, "owner", address.String(), "error", err.Error())
		}
		return err
	})
}

// ownerWorks asks another entry whether it owns a service and writes.
func (s *Server) ownerWorks(ctx context.Context, address netip.AddrPort, service string) bool {
	pong, err := s.Owners.Peers.Ping(ctx, address, service)
	if err != nil {
		s.Log.Info("owner not asked", "service", service, "owner", address.String(), "error", err.Error())
		return false
	}
	return pong.Owns && pong.WriteAge < handInStale
}

// mayBeTaken reports whether an owner that did not take a job for sure may have
// taken it.
func mayBeTaken(err error) bool {
	var busy *BusyOwnerError
	if isNoOwner(err) || errors.As(err, &busy) {
		return false
	}
	return outside.IsUncertain(err) || !outside.IsNotDone(err)
}
