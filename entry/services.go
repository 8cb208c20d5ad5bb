package entry

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"lemonstream.dev/lemonstream/admit"
	"lemonstream.dev/lemonstream/burn"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/forward"
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/route"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

// service is one service as the request path sees it.
type service struct {
	domain fleet.Service
	route  *route.Service
	gate   *admit.Gate
	retry  *forward.RetryBudget
	sender *forward.Sender
	count  *burn.Recorder

	// mostRetries bounds the repeats of one request.
	mostRetries int
}

// snapshot is what the request path reads; it is never changed once built.
type snapshot struct {
	services map[string]*service
	quotas   map[string]*admit.Quota
}

// Services builds the request path's snapshot from each new view. What has a
// history, such as endpoints and gates, is carried over from the one before.
type Services struct {
	clock   clock.Clock
	options ServicesOptions

	current atomic.Pointer[snapshot]

	mu sync.Mutex

	// endpoints maps an instance to its endpoint; an endpoint whose boot or
	// address changed is replaced.
	endpoints map[string]*route.Endpoint

	// replaced maps an instance to its earlier endpoints that still have
	// requests in flight. The list lags, so they may well be at the process
	// that runs now.
	replaced map[string][]*route.Endpoint

	senders  map[int]*forward.Sender
	stopping bool
}

// ServicesOptions are the settings and seams of services.
type ServicesOptions struct {
	// QueueLength bounds the requests of a service that wait.
	QueueLength int

	// Entries is the largest number of entries that share an endpoint's
	// connections; at least 1.
	Entries int

	// TakesWork decides whether an instance may get new requests.
	TakesWork func(view *state.View, id string) bool

	// NewSender returns a sender that opens at most so many connections to
	// each endpoint.
	NewSender func(conns int) *forward.Sender
}

// NewServices returns services without any yet.
func NewServices(c clock.Clock, o ServicesOptions) *Services {
	s := &Services{
		clock:     c,
		options:   o,
		endpoints: make(map[string]*route.Endpoint),
		replaced:  make(map[string][]*route.Endpoint),
		senders:   make(map[int]*forward.Sender),
	}
	s.current.Store(&snapshot{
		services: make(map[string]*service),
		quotas:   make(map[string]*admit.Quota),
	})
	return s
}

// Counts returns the counts of each service since the start.
func (s *Services) Counts() map[string]*burn.Recorder {
	counts := make(map[string]*burn.Recorder)
	for name, one := range s.current.Load().services {
		counts[name] = one.count
	}
	return counts
}

// Held returns the entry's word on each instance that drains.
func (s *Services) Held(view *state.View) map[string]member.Hold {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(map[string]member.Hold)
	for id, instance := range view.Instances {
		endpoint := s.endpoints[id]
		// Words are asked for while an instance drains; one that stays drained
		// for days would only make every message longer.
		if instance.Phase != fleet.PhaseDraining || endpoint == nil || !endpoint.Closed() {
			continue
		}
		held[id] = member.Hold{
			Version: view.Rows[fleet.InstanceKey(id)].Version,
			Count:   endpoint.InFlight() + s.inFlightBefore(id),
		}
	}
	return held
}

// Stop refuses what waits and what comes.
func (s *Services) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for _, one := range s.current.Load().services {
		one.gate.Stop()
	}
}

// Suspects returns the instances that this entry sees failing, sorted.
func (s *Services) Suspects() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var suspects []string
	for id, endpoint := range s.endpoints {
		if endpoint.Ejected(clock.Millis(s.clock.Now())) {
			suspects = append(suspects, id)
		}
	}
	sort.Strings(suspects)
	return suspects
}

// Update builds the snapshot of the view.
func (s *Services) Update(view *state.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.current.Load()
	next := &snapshot{
		services: make(map[string]*service, len(view.Config.Services)),
		quotas:   make(map[string]*admit.Quota, len(view.Config.Teams)),
	}
	s.updateEndpoints(view)
	for name, domain := range view.Config.Services {
		next.services[name] = s.build(view, domain, before.services[name])
	}
	for name, quota := range view.Config.Teams {
		next.quotas[name] = s.quota(quota.Rate, quota.Burst, before.quotas[name])
	}
	s.current.Store(next)
}

func (s *Services) build(view *state.View, domain fleet.Service, before *service) *service {
	next := &service{
		domain:      domain,
		sender:      s.sender(max(domain.ConnsPerInstance/s.options.Entries, 1)),
		mostRetries: view.Config.Retry.Most,
	}
	var endpoints []*route.Endpoint
	for _, id := range view.InPool(domain.Pool) {
		if endpoint := s.endpoints[id]; endpoint != nil && s.options.TakesWork(view, id) {
			endpoints = append(endpoints, endpoint)
		}
	}
	next.route = route.NewService(domain.Name, endpoints, view.Config.Routing.EjectMost)
	if before != nil {
		next.gate = before.gate
		next.retry = before.retry
		next.retry.SetShare(view.Config.Retry.Share)
		next.count = before.count
		return next
	}
	next.gate = admit.NewGate(0, s.options.QueueLength)
	next.retry = forward.NewRetryBudget(view.Config.Retry.Share)
	next.count = burn.NewRecorder()
	if s.stopping {
		next.gate.Stop()
	}
	return next
}

// inFlightBefore counts the requests in flight at earlier endpoints of the
// instance, and forgets those that have none.
func (s *Services) inFlightBefore(id string) int {
	count := 0
	s.replaced[id] = slices.DeleteFunc(s.replaced[id], func(endpoint *route.Endpoint) bool {
		count += endpoint.InFlight()
		return endpoint.InFlight() == 0
	})
	return count
}

// replace keeps an endpoint that is about to be replaced in the count.
func (s *Services) replace(id string, endpoint *route.Endpoint) {
	s.inFlightBefore(id)
	if endpoint != nil {
		endpoint.Close()
		s.replaced[id] = append(s.replaced[id], endpoint)
	}
}

func (s *Services) quota(rate, burst float64, before *admit.Quota) *admit.Quota {
	if before != nil {
		return before
	}
	share := 1 / float64(s.options.Entries)
	return admit.NewQuota(rate*share, burst*share, s.clock.Now())
}

func (s *Services) sender(conns int) *forward.Sender {
	sender, found := s.senders[conns]
	if !found {
		sender = s.options.NewSender(conns)
		s.senders[conns] = sender
	}
	return sender
}

// updateEndpoints keeps one endpoint for each boot of an instance.
func (s *Services) updateEndpoints(view *state.View) {
	for id, instance := range view.Instances {
		line := view.Listed[id]
		address := instance.Address
		if line.Address.IsValid() {
			address = line.Address
		}
		endpoint := s.endpoints[id]
		if endpoint == nil || endpoint.Address != address || endpoint.Boot != line.Boot {
			s.replace(id, endpoint)
			endpoint = route.NewEndpoint(id, instance.Zone, address, line.Boot)
			s.endpoints[id] = endpoint
		}
		if s.options.TakesWork(view, id) {
			endpoint.Open()
		} else {
			endpoint.Close()
		}
	}
	for id := range s.endpoints {
		if _, found := view.Instances[id]; !found {
			delete(s.endpoints, id)
			delete(s.replaced, id)
		}
	}
}

// least gives an entry whose share is no slot at all one slot of one endpoint,
// so that its first requests don't wait until its demand is heard. All entries
// together may pass an endpoint's slots by their number, no further.
func (s *Services) least(one *service, entry string, total int) int {
	endpoints := one.route.Endpoints()
	if total > 0 || len(endpoints) == 0 {
		return 0
	}
	first := xxhash.Sum64String(one.domain.Name+"/"+entry) % uint64(len(endpoints))
	endpoints[first].SetLimit(1)
	return 1
}

// TakesWork reports whether the instance may get new requests: its row says
// that it serves, and the list doesn't say that it leaves.
func TakesWork(view *state.View, id string) bool {
	if view.Instances[id].Phase != fleet.PhaseServing {
		return false
	}
	line, found := view.Listed[id]
	return !found || line.State == store.ListedLive
}

// SetShares sets the limits of every service and quota by the claims on them.
func (s *Services) SetShares(view *state.View, entry string, claims func(name string) []admit.Claim) {
	current := s.current.Load()
	for name, one := range current.services {
		total := 0
		claimed := claims(name)
		for _, endpoint := range one.route.Endpoints() {
			slots := admit.Slots(entry, one.domain.SlotsPerInstance, claimed, func(other string) uint64 {
				return xxhash.Sum64String(endpoint.ID + "/" + other)
			})
			endpoint.SetLimit(slots)
			total += slots
		}
		one.gate.SetLimit(max(total, s.least(one, entry, total)))
	}
	for name, quota := range current.quotas {
		share := admit.Share(entry, claims("team/"+name), admit.EvenQuota)
		configured := view.Config.Teams[name]
		quota.Set(configured.Rate*share, configured.Burst*share)
	}
}
