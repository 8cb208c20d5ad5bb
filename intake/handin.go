package intake

import (
	"context"
	"errors"
	"net/netip"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/peer"
	"lemonstream.dev/lemonstream/shard"
)

// handIn hands a job to the owner of its service, whose transactions hold many
// records: a part of the store takes them one after another, and would be full of
// those of single jobs whenever it is slow. The entry gives up on an owner that
// does not answer and does not write.
func (s *Server) handIn(ctx context.Context, service string, record shard.Record) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var submit func() error
	var works func() bool
	if duty, mine := s.Owners.Duty(service); mine {
		submit = func() error { return s.Submit(ctx, duty, service, record) }
		works = func() bool { return duty.WriteAge() < handInStale }
	} else if address, known := s.Owners.Owner(service); known {
		submit = func() error {
			return s.submitAt(ctx, address, service, record)
		}
		works = func() bool { return s.ownerWorks(ctx, address, service) }
	} else {
		return &peer.NotOwnerError{
			Service: service,
		}
	}
	answer := make(chan error, 1)
	s.Group.Go("hand in", func(context.Context) error {
		answer <- submit()
		return nil
	})
	for {
		select {
		case err := <-answer:
			return err
		case <-s.Clock.After(handInLook):
		}
		if !works() {
			s.Log.Info("owner does not take the job", "job", record.ID, "service", service)
			return &outside.UncertainError{
				Call:  "handing in at the owner of " + service,
				Cause: context.DeadlineExceeded,
			}
		}
	}
}

// isAnswer reports whether an error is an answer to a job that was handed in: it is turned away, has
// the ID of another organisation's job, was withdrawn, or its queue may have moved.
func isAnswer(err error) bool {
	var away *owner.RefusedError
	return errors.As(err, &away) || isForeign(err) || isWithdrawn(err) || isMoved(err)
}

// isForeign reports whether a job was not accepted because its ID is that of another organisation's job.
func isForeign(err error) bool {
	var foreign *owner.ForeignError
	return errors.As(err, &foreign)
}

// isWithdrawn reports whether a job was not accepted because its caller has withdrawn it.
func isWithdrawn(err error) bool {
	var withdrawn *owner.WithdrawnError
	return errors.As(err, &withdrawn)
}

// isMoved reports whether a job was not accepted because its queue may have moved.
func isMoved(err error) bool {
	var moved *owner.MovedError
	return errors.As(err, &moved)
}

// submitAt hands a job in at another entry. That a job was turned away is an answer: it
// counts against nobody.
func (s *Server) submitAt(ctx context.Context, address netip.AddrPort, service string, record shard.Record) error {
	var answer error
	err := s.tryOwner(ctx, handingIn, service, address, func(ctx context.Context) error {
		err := s.Owners.Peers.Submit(ctx, address, service, record)
		if isAnswer(err) {
			answer = err
			return nil
		}
		return err
	})
	if err == nil {
		return answer
	}
	return err
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

// isNotOwner reports whether an error says that there is no owner to hand a job
// in at. Only then an entry writes to a slow store itself.
func isNotOwner(err error) bool {
	var notOwner *peer.NotOwnerError
	return errors.As(err, &notOwner)
}

// mayBeTaken reports whether an owner that did not take a job for sure may have
// taken it.
func mayBeTaken(err error) bool {
	return outside.IsUncertain(err) || (!outside.IsNotDone(err) && !isNotOwner(err))
}
