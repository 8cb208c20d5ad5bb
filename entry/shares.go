package entry

import (
	"context"
	"sync/atomic"
	"time"

	"lemonstream.dev/lemonstream/admit"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/state"
)

// demandWeight is the weight of the newest sample of demand.
const demandWeight = 0.5

// leastDemand is told as no demand at all, to keep messages short.
const leastDemand = 0.01

// Shares is the duty that divides slots and quotas among the entries by the
// demand that they tell each other.
type Shares struct {
	services *Services
	watch    *state.Watch
	peers    *member.Peers
	clock    clock.Clock
	interval time.Duration
	id       string

	// demands is this entry's smoothed demand by service name, or by
	// team/NAME. It belongs to the duty's goroutine.
	demands map[string]float64

	// told is what peers are told of demands.
	told atomic.Pointer[map[string]float64]
}

// NewShares returns the duty of the entry called id.
func NewShares(s *Services, w *state.Watch, p *member.Peers, c clock.Clock, id string, interval time.Duration) *Shares {
	return &Shares{
		services: s,
		watch:    w,
		peers:    p,
		clock:    c,
		interval: interval,
		id:       id,
		demands:  make(map[string]float64),
	}
}

// Run divides anew in each interval until ctx ends.
func (s *Shares) Run(ctx context.Context) error {
	return clock.Every(ctx, s.interval, func(context.Context) { s.round() })
}

func (s *Shares) round() {
	s.measure()
	told := make(map[string]float64, len(s.demands))
	for name, demand := range s.demands {
		if demand >= leastDemand {
			told[name] = demand
		}
	}
	s.told.Store(&told)
	view := s.watch.View()
	live := s.peers.Live()
	s.services.SetShares(view, s.id, func(name string) []admit.Claim {
		return s.claims(live, name)
	})
}

// Told returns the demands worth telling.
func (s *Shares) Told() map[string]float64 {
	told := s.told.Load()
	if told == nil {
		return nil
	}
	return *told
}

// claims lists what every entry asks of name. An entry that the table counts
// as a member but that is not heard is taken to ask for as much as this one,
// so that entries cut off from each other do not all take the whole.
func (s *Shares) claims(live []member.Heard, name string) []admit.Claim {
	claims := make([]admit.Claim, 0, len(live)+1)
	claims = append(claims, admit.Claim{
		Entry:  s.id,
		Demand: s.demands[name],
	})
	for _, peer := range live {
		demand := peer.Hello.Demands[name]
		if peer.At.IsZero() {
			demand = s.demands[name]
		}
		claims = append(claims, admit.Claim{
			Entry:  peer.Hello.ID,
			Demand: demand,
		})
	}
	return claims
}

func (s *Shares) measure() {
	current := s.services.current.Load()
	for name, one := range current.services {
		s.smooth(name, float64(one.gate.Demand()))
	}
	for name, quota := range current.quotas {
		s.smooth("team/"+name, float64(quota.Demand())/s.interval.Seconds())
	}
}

func (s *Shares) smooth(name string, sample float64) {
	s.demands[name] += demandWeight * (sample - s.demands[name])
}
