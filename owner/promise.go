package owner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/witness"
)

const (
	// promiseCheckInterval is the time between two checks of an owner whether it has to request
	// promises. It is well below witness.RequestInterval.
	promiseCheckInterval = 50 * time.Millisecond

	// stalledWrite is how long a transaction must have been in flight to count as a sign of an
	// outage. A transaction normally takes some 5 ms. Without such a sign no promise is
	// requested, however old the last write is: the instance controller may write late because
	// its rounds take long.
	stalledWrite = 100 * time.Millisecond
)

// Outcomes of requests for promises, as counted under metricPromise.
const (
	metricPromise     = "promise"
	promiseGranted    = "granted"
	promiseRefused    = "refused"
	promiseUnanswered = "unanswered"
)

// PromiseRequest asks an entry not to claim a part for a while.
type PromiseRequest struct {
	Part string

	// Epoch and Owner identify the tenure of the requesting owner.
	Epoch int64
	Owner string

	// Ordered names the instances that the owner is about to order without a write.
	Ordered []string
}

// PromiseAnswer is the answer to a PromiseRequest.
type PromiseAnswer struct {
	// Incarnation identifies the process that answered.
	Incarnation string

	// Promised is for how long it does not claim the part, counted from when it received the
	// request; 0 if it refused.
	Promised time.Duration

	// Reason says why it refused.
	Reason string
}

// PromiseError reports that a witness has not promised.
type PromiseError struct {
	Part string

	// Witness is the incarnation of the witness; empty if none is named.
	Witness string

	// Reason is that of a refusal, or the error of an unanswered request.
	Reason string
}

// Error implements error.
func (e *PromiseError) Error() string {
	if e.Witness == "" {
		return "part " + e.Part + ": " + e.Reason
	}
	return "part " + e.Part + ": no promise of " + e.Witness + ": " + e.Reason
}

// promises is the owner's side of the promises for one tenure. The zero value names no witness.
type promises struct {
	mu sync.Mutex

	// holder is nil if the extension is switched off.
	holder *witness.Holder

	// addresses holds the peer addresses of the named witnesses, by incarnation.
	addresses map[string]netip.AddrPort

	// lastError is the last failed request since all witnesses promised.
	lastError error

	// choose returns the entries to name, best first. request asks one of them. unanswered is
	// told of an entry that did not answer.
	choose     func() []Member
	request    func(ctx context.Context, to netip.AddrPort, request PromiseRequest) (PromiseAnswer, error)
	unanswered func(incarnation string)

	// owner is the incarnation of this entry.
	owner string
}

// mayAct reports whether the owner may act now: base is how long it may after its last write
// without promises.
func (t *tenure) mayAct(base time.Duration) bool {
	p := &t.promises
	p.mu.Lock()
	defer p.mu.Unlock()
	now := t.clock.Now()
	lastWrite := clock.FromMillis(t.lastWriteMillis.Load())
	if p.holder == nil {
		return now.Sub(lastWrite) <= base
	}
	return p.holder.MayAct(now, lastWrite, base)
}

// informWitnesses asks every witness for a promise on a request that names the given instances and
// returns nil once all have promised; otherwise a *PromiseError. The instances have to be ordered
// within maxOrderWriteAge, because a witness remembers them for a limited time.
func (t *tenure) informWitnesses(ctx context.Context, instances []string) error {
	required := t.requiredWitnesses()
	if len(required) == 0 {
		return &PromiseError{
			Part:   t.part,
			Reason: "no witness is named",
		}
	}
	errs := make([]error, len(required))
	var all sync.WaitGroup
	for i, incarnation := range required {
		all.Add(1)
		t.group.Go("promise request", func(context.Context) error {
			defer all.Done()
			errs[i] = t.requestPromise(ctx, incarnation, instances)
			return nil
		})
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			t.promises.recordError(err)
			return err
		}
	}
	return nil
}

// requestPromise asks one witness for a promise and records it.
func (t *tenure) requestPromise(ctx context.Context, incarnation string, instances []string) error {
	p := &t.promises
	p.mu.Lock()
	address := p.addresses[incarnation]
	p.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, witness.RequestTimeout)
	defer cancel()
	sent := t.clock.Now()
	answer, err := p.request(bounded, address, PromiseRequest{
		Part:    t.part,
		Epoch:   t.epoch,
		Owner:   p.owner,
		Ordered: instances,
	})
	reason := answer.Reason
	switch {
	case err != nil:
		p.unanswered(incarnation)
		t.count(metricPromise, promiseUnanswered)
		reason = err.Error()
	case answer.Incarnation != incarnation:
		p.unanswered(incarnation)
		t.count(metricPromise, promiseRefused)
		reason = "another incarnation answered: " + answer.Incarnation
	case answer.Promised <= 0:
		t.count(metricPromise, promiseRefused)
	default:
		t.count(metricPromise, promiseGranted)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.holder.Promised(incarnation, sent, t.clock.Now(), answer.Promised)
		return nil
	}
	return &PromiseError{
		Part:    t.part,
		Witness: incarnation,
		Reason:  reason,
	}
}

// keepPromises requests promises while the store is failing, until ctx ends. It logs when the owner
// begins to act by promises only, and when that ends.
func (t *tenure) keepPromises(ctx context.Context, base time.Duration) error {
	if t.promises.holder == nil {
		return nil
	}
	continuing := false
	for clock.Sleep(ctx, promiseCheckInterval) {
		if t.promisesDue() {
			// A failed request is counted and kept for the log.
			if t.informWitnesses(ctx, nil) == nil {
				t.promises.recordError(nil)
			}
		}
		age := t.age()
		byPromises := age > base && t.mayAct(base)
		switch {
		case byPromises && !continuing:
			t.log.Info("outage: continuing on promises", "part", t.part, "epoch", t.epoch, "write_age_ms", age.Milliseconds(),
				"reason", "all witnesses promised")
		case !byPromises && continuing:
			t.log.Info("outage: promises ended", "part", t.part, "epoch", t.epoch, "write_age_ms", age.Milliseconds(),
				"reason", t.endReason(age, base))
		}
		continuing = byPromises
	}
	return nil
}

// endReason returns why an owner no longer acts by promises.
func (t *tenure) endReason(age, base time.Duration) string {
	p := &t.promises
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case age <= base:
		return "written again"
	case p.holder.Covered(t.clock.Now()):
		return "outage-timeout reached"
	case p.lastError != nil:
		return p.lastError.Error()
	default:
		return "promises expired"
	}
}

// promisesDue reports whether promises have to be requested now. They are only while the store
// fails or a transaction is stalled.
func (t *tenure) promisesDue() bool {
	now := t.clock.Now()
	since := t.attemptSince.Load()
	stalled := since != 0 && now.Sub(clock.FromMillis(since)) >= stalledWrite
	if t.failures.Load() == 0 && !stalled {
		return false
	}
	p := &t.promises
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holder.NextRequest(now, clock.FromMillis(t.lastWriteMillis.Load()))
}

// requiredWitnesses returns the incarnations that have to promise.
func (t *tenure) requiredWitnesses() []string {
	p := &t.promises
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holder == nil {
		return nil
	}
	return p.holder.Required()
}

// name returns the witnesses for the next transaction. Only then are others chosen when the store
// has applied the one before.
func (p *promises) name() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holder == nil {
		return nil
	}
	return p.holder.Name(func() []string {
		var chosen []string
		kept := make(map[string]netip.AddrPort)
		for _, incarnation := range p.holder.Required() {
			kept[incarnation] = p.addresses[incarnation]
		}
		for _, member := range p.choose() {
			address, err := netip.ParseAddrPort(member.Peer)
			if err != nil || len(chosen) == witness.MaxNamed {
				continue
			}
			chosen = append(chosen, member.Incarnation)
			kept[member.Incarnation] = address
		}
		p.addresses = kept
		return chosen
	})
}

// applied records that the last transaction was applied.
func (p *promises) applied() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holder != nil {
		p.holder.Applied()
	}
}

func (p *promises) recordError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastError = err
}
