package intake

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
)

// ownerLooks shares the result of a look at an owner between all jobs that were handed in there.
// With a silent store each of them would ask every 0.4 s.
type ownerLooks struct {
	mu        sync.Mutex
	byService map[string]*ownerLook
}

// ownerLook is one look at the owner of a service.
type ownerLook struct {
	address netip.AddrPort
	began   time.Time

	// done is closed when the look has ended; works is set before.
	done  chan struct{}
	works bool
}

// share returns the current look at an owner. It returns true if the caller has to carry it out,
// because the last one began handInLook ago or was at another address.
func (l *ownerLooks) share(c clock.Clock, service string, address netip.AddrPort) (*ownerLook, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := c.Now()
	look, found := l.byService[service]
	if found && look.address == address && now.Sub(look.began) < handInLook {
		return look, false
	}
	if l.byService == nil {
		l.byService = make(map[string]*ownerLook)
	}
	look = &ownerLook{
		address: address,
		began:   now,
		done:    make(chan struct{}),
	}
	l.byService[service] = look
	return look, true
}

// ownerWorks asks another entry whether it owns a service and writes. Callers that ask at the same
// time share one question.
func (s *Server) ownerWorks(ctx context.Context, address netip.AddrPort, service string) bool {
	look, mine := s.looks.share(s.Clock, service, address)
	if mine {
		// Others wait for the answer, so it does not end with the caller that asked first.
		s.Group.Go("look at owner", func(ctx context.Context) error {
			defer close(look.done)
			look.works = s.askWhetherOwnerWorks(ctx, address, service)
			return nil
		})
	}
	select {
	case <-look.done:
		return look.works
	case <-ctx.Done():
		return false
	}
}

func (s *Server) askWhetherOwnerWorks(ctx context.Context, address netip.AddrPort, service string) bool {
	pong, err := s.Owners.Peers.Ping(ctx, address, service)
	if err != nil {
		s.Log.Info("owner not asked", "service", service, "owner", address.String(), "error", err.Error())
		return false
	}
	return pong.Owns && pong.WriteAge < handInStale
}
