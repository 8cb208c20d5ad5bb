package intake

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/peer"
	"lemonstream.dev/lemonstream/shard"
)

// accept makes the record of a job stand and answers. It gives up early where none
// of its own tries can take effect any more, and else while the caller has time to
// come back: what its tries left open, the same job handed in again settles.
func (s *Server) accept(r *request, record shard.Record, catalogVersion int64) {
	uncertain := false
	began := s.Clock.Now()
	ctx, cancel := context.WithTimeout(r.ctx, s.holds(r.Context))
	defer cancel()
	r.ctx = ctx
	givingUp := min(giveUpAfter, s.deadline(r.Context)/giveUpShare)
	awaited := began.Add(min(ownerWait, s.deadline(r.Context)/ownerWaitShare))
	for {
		writer, err := s.take(r, record, awaited, &uncertain)
		if err == nil {
			s.accepted(r, record, writer, catalogVersion)
			return
		}
		var there *OwnerThereError
		hopeless := !uncertain && !errors.As(err, &there) && s.Clock.Now().Sub(began)+writePause > givingUp
		if !hopeless && clock.Sleep(r.ctx, writePause) {
			continue
		}
		s.Log.Warn("job not accepted", "job", record.ID, "route", record.Route, "uncertain", uncertain, "error", err.Error())
		s.notTaken(r.Context, "the store does not take the job")
		return
	}
}

// holds returns how long a job is held at most: a caller that is told to come back has
// to have the time for it. One whose deadline is too short for that is held to its end.
func (s *Server) holds(c *gin.Context) time.Duration {
	deadline := s.deadline(c)
	held := s.patience(c) - retryAfter*time.Second
	if held < deadline/holdShare {
		return s.patience(c)
	}
	return held
}

// take tries once to make the record of a job stand, and returns who wrote it. An
// owner is waited for until the given instant. uncertain is set where a try without
// success may yet have an effect.
func (s *Server) take(r *request, record shard.Record, awaited time.Time, uncertain *bool) (string, error) {
	stands, err := s.standsElsewhere(r, record)
	if err != nil || stands {
		return writerEarlier, err
	}
	d := s.desk(r.route.Service)
	atOwner := d.hand(r.ctx, record, awaited)
	if atOwner == nil {
		return writerOwner, nil
	}
	*uncertain = *uncertain || mayBeTaken(atOwner)
	var busy *BusyOwnerError
	if errors.As(atOwner, &busy) {
		// An owner that works is the one that writes.
		return "", atOwner
	}
	if s.Slow() && !isNoOwner(atOwner) {
		return "", fmt.Errorf("the store is slow, and at the owner: %w", atOwner)
	}
	err = d.scribe.write(r.ctx, record, *uncertain)
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
