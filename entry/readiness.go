package entry

import (
	"sync/atomic"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/member"
	"lemonstream.dev/lemonstream/state"
)

// unheardLimit is how long an entry may go without any word of newer
// configurations, from the table or from peers, before it says so.
const unheardLimit = 16 * time.Second

// Readiness answers whether the balancer should send callers here.
type Readiness struct {
	watch   *state.Watch
	peers   *member.Peers
	clock   clock.Clock
	leaving atomic.Bool

	// joined returns the table's revision at which this entry became a
	// member, or 0 before.
	joined func() int64
}

// NewReadiness returns the readiness of the entry.
func NewReadiness(w *state.Watch, p *member.Peers, r *member.Registrar, c clock.Clock) *Readiness {
	return &Readiness{
		watch:  w,
		peers:  p,
		clock:  c,
		joined: r.Joined,
	}
}

// Open reports whether the entry may send requests to endpoints. It must be a
// member first, and know the table as of then: every later step of a plan asks
// for its word, every earlier one is in its view. While the table has not
// answered at all, no plan can make a step, and the entry serves from what its
// peers or a snapshot told.
func (r *Readiness) Open() bool {
	joined := r.joined()
	return (joined > 0 && r.watch.Revision() >= joined) || r.watch.FreshAt().IsZero()
}

// Check returns whether the entry is ready, and why not or what is amiss. An
// entry that may miss newer configurations stays ready, since serving from
// the last known state beats not serving; it only says so.
func (r *Readiness) Check() (ready bool, note string) {
	if r.leaving.Load() {
		return false, "the entry stops"
	}
	if !r.watch.View().Ready() {
		return false, "no configuration or no instance is known yet"
	}
	if !r.Open() {
		return false, "the entry is not registered as a member yet"
	}
	heard := len(r.peers.Heard()) > 0
	if r.clock.Now().Sub(r.watch.FreshAt()) > unheardLimit && !heard {
		return true, "newer configurations may be missed: neither the table nor a peer answers"
	}
	return true, ""
}

// Leave makes the entry not ready for good.
func (r *Readiness) Leave() {
	r.leaving.Store(true)
}
