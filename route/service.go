package route

import (
	"math/bits"
	"time"
)

// Refusals of a choice.
const (
	// ReasonEmpty means that the service has no endpoint that takes work.
	ReasonEmpty Reason = "no endpoint takes work"

	// ReasonFull means that all of this entry's slots are taken.
	ReasonFull Reason = "all slots are taken"
)

// mixFactor is an odd constant with as many ones as zeros.
const mixFactor = 0xa0761d6478bd642f

// Reason says why no endpoint could be chosen.
type Reason string

// Request is what the choice depends on.
type Request struct {
	// Now is in milliseconds since the Unix epoch.
	Now int64

	// Session is the hash of the session, or 0 for none.
	Session uint64

	// Random is a uniform random number.
	Random uint64

	// Avoid is an endpoint that already failed the request, or nil.
	Avoid *Endpoint
}

// Service is the set of endpoints that take new work of a service. The set is
// immutable; a change of the fleet builds a new Service with the same
// endpoints.
type Service struct {
	Name string

	// endpoints are sorted by ID, so that every entry sees one order.
	endpoints []*Endpoint

	// hashes holds the endpoints' hashes in the same order, side by side in
	// memory, because the choice of a session's endpoint reads all of them.
	hashes []uint64

	// ejectMost bounds the endpoints ejected at once.
	ejectMost int32
}

// NewService returns the service over endpoints, of which at most the share
// ejectMost (0 to 1) may be ejected at once.
func NewService(name string, endpoints []*Endpoint, ejectMost float64) *Service {
	hashes := make([]uint64, 0, len(endpoints))
	for _, endpoint := range endpoints {
		hashes = append(hashes, endpoint.hash)
	}
	return &Service{
		Name:      name,
		endpoints: endpoints,
		hashes:    hashes,
		ejectMost: int32(float64(len(endpoints)) * ejectMost),
	}
}

// Choose picks an endpoint and takes one of its slots. A session goes to the
// endpoint with the highest hash of session and endpoint (rendezvous hashing,
// Thaler and Ravishankar 1998), the same one from any entry; other requests go
// to the cheaper of two random endpoints (Mitzenmacher 2001). It returns nil
// and a reason when there is none.
func (s *Service) Choose(r Request) (*Endpoint, Reason) {
	if len(s.endpoints) == 0 {
		return nil, ReasonEmpty
	}
	if r.Session != 0 {
		return s.chooseSession(r)
	}
	first := s.endpoints[uint32(r.Random)%uint32(len(s.endpoints))]
	second := s.endpoints[uint32(r.Random>>32)%uint32(len(s.endpoints))]
	if s.worse(first, second, r) {
		first, second = second, first
	}
	if s.open(first, r) && first.Acquire(false) {
		return first, ""
	}
	if s.open(second, r) && second.Acquire(false) {
		return second, ""
	}
	return s.chooseAny(r)
}

// Done gives the slot back and records what the endpoint did. An endpoint
// that fails too much is ejected for a while, unless so many are ejected
// already that the fault must lie elsewhere.
func (s *Service) Done(e *Endpoint, now int64, elapsed time.Duration, failed bool) {
	e.record(elapsed, failed)
	e.Release()
	if !failed {
		e.ejections.Store(0)
		return
	}
	if e.FailureRate() < ejectAfter || e.ejectedUntil.Load() > now {
		return
	}
	if s.countEjected(now) >= s.ejectMost {
		return
	}
	length := int64(ejectBase) << min(e.ejections.Add(1)-1, 5)
	e.ejectedUntil.Store(now + min(length, ejectLongest))
}

// Endpoints returns the endpoints of the service; the caller must not change
// the slice.
func (s *Service) Endpoints() []*Endpoint {
	return s.endpoints
}

// chooseAny walks over all endpoints from a random one.
func (s *Service) chooseAny(r Request) (*Endpoint, Reason) {
	start := int(uint32(r.Random) % uint32(len(s.endpoints)))
	for i := range s.endpoints {
		e := s.endpoints[(start+i)%len(s.endpoints)]
		if s.open(e, r) && e.Acquire(false) {
			return e, ""
		}
	}
	return nil, ReasonFull
}

func (s *Service) chooseSession(r Request) (*Endpoint, Reason) {
	var best *Endpoint
	var highest uint64
	for i, hash := range s.hashes {
		weight := mix(hash ^ r.Session)
		if weight >= highest && s.open(s.endpoints[i], r) {
			best = s.endpoints[i]
			highest = weight
		}
	}
	if best == nil {
		return nil, ReasonEmpty
	}
	if !best.Acquire(true) {
		return nil, ReasonFull
	}
	return best, ""
}

func (s *Service) countEjected(now int64) int32 {
	count := int32(0)
	for _, e := range s.endpoints {
		if e.ejectedUntil.Load() > now {
			count++
		}
	}
	return count
}

// open reports whether the endpoint may take the request.
func (s *Service) open(e *Endpoint, r Request) bool {
	return e != r.Avoid && e.ejectedUntil.Load() <= r.Now
}

// worse reports whether a should come after b.
func (s *Service) worse(a, b *Endpoint, r Request) bool {
	if s.open(a, r) != s.open(b, r) {
		return s.open(b, r)
	}
	return a.cost() > b.cost()
}

// mix multiplies to 128 bits and folds them, as wyhash does; both inputs were
// spread by xxhash before.
func mix(x uint64) uint64 {
	high, low := bits.Mul64(x, mixFactor)
	return high ^ low
}
