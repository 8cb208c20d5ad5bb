package owner

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/witness"
)

const (
	// contactRetention is how long ago an entry must have pinged this one to be named as a
	// witness. The first successors of a part ping its owner every 250 to 750 ms.
	contactRetention = 3 * time.Second

	// witnessReadTimeout bounds the read by which a witness checks whether it reaches the store.
	// It leaves time for the answer within witness.RequestTimeout. A read that takes longer
	// counts as failed: the promise is then safe, though it may not be needed.
	witnessReadTimeout = 120 * time.Millisecond

	// witnessReadAge is how old the result of such a read may be for it to be used again.
	witnessReadAge = 300 * time.Millisecond

	// orderedMargin is how long a witness remembers an instance beyond the platform's pause
	// between two holders. It spans the time from the request to the order.
	orderedMargin = 2 * maxOrderWriteAge

	// Reasons of the keeper for refusing a promise, besides those of witness.Promises.
	reasonUnknownPart = "unknown part"
	reasonOtherOwner  = "another owner known"
)

// witnessing is what an entry keeps as a possible witness of one part.
type witnessing struct {
	promises *witness.Promises

	// reading serializes reads of the heartbeat row. readAt and readable are the time and the
	// result of the last one.
	reading  sync.Mutex
	readAt   time.Time
	readable bool
}

// Promise decides on an owner's request for a promise.
func (k *Keeper) Promise(ctx context.Context, request PromiseRequest) PromiseAnswer {
	answer := PromiseAnswer{
		Incarnation: k.self.Incarnation,
	}
	if !slices.Contains(k.services(), request.Part) {
		answer.Reason = reasonUnknownPart
		return answer
	}
	k.mu.Lock()
	w := k.witnessing(request.Part)
	k.mu.Unlock()
	readable := k.canReadBeat(ctx, request.Part, w)
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.owners[request.Part]
	if known.Epoch == request.Epoch && known.Owner != request.Owner {
		answer.Reason = reasonOtherOwner
		return answer
	}
	answer.Promised, answer.Reason = w.promises.Grant(k.deps.Clock.Now(), witness.Request{
		Epoch:   request.Epoch,
		Ordered: request.Ordered,
	}, witness.Known{
		Epoch:    known.Epoch,
		Readable: readable,
	})
	return answer
}

// canReadBeat reports whether this entry can read the heartbeat row of a part, by a read that is at
// most witnessReadAge old.
func (k *Keeper) canReadBeat(ctx context.Context, part string, w *witnessing) bool {
	w.reading.Lock()
	defer w.reading.Unlock()
	if now := k.deps.Clock.Now(); !w.readAt.IsZero() && now.Sub(w.readAt) <= witnessReadAge {
		return w.readable
	}
	bounded, cancel := context.WithTimeout(ctx, witnessReadTimeout)
	defer cancel()
	// A failure is the expected result during an outage; the owner counts the promise.
	beat, version, err := k.beat(bounded, part)
	if ctx.Err() != nil {
		// The request has ended, which shows nothing about the store.
		return false
	}
	w.readAt = k.deps.Clock.Now()
	w.readable = err == nil
	if w.readable {
		k.mu.Lock()
		w.promises.ObserveBeat(beat.Epoch, version)
		k.mu.Unlock()
	}
	return w.readable
}

// witnessing returns the state of this entry as a witness of a part. The caller holds k.mu.
func (k *Keeper) witnessing(part string) *witnessing {
	w := k.witnessed[part]
	if w == nil {
		w = &witnessing{
			promises: witness.NewPromises(witness.Standard(), witness.Lengthen(k.deps.Site.HolderPause)+orderedMargin),
		}
		k.witnessed[part] = w
	}
	return w
}

// mayClaim reports whether no promise keeps this entry from claiming a part. The caller holds k.mu.
func (k *Keeper) mayClaim(part string, now time.Time) bool {
	return k.witnessing(part).promises.MayClaim(now)
}

// beginClaim records that a claim is about to be sent; see witness.Promises. It returns the
// instances that the previous owner may have ordered without a write.
func (k *Keeper) beginClaim(part string, o ownerRow, before Beat, beatVersion int64, ended bool) ([]string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.deps.Clock.Now()
	w := k.witnessing(part)
	w.promises.ObserveBeat(before.Epoch, beatVersion)
	if !w.promises.BeginClaim(now, o.Epoch, beatVersion, ended) {
		return nil, &PromisedError{
			Part:  part,
			Owner: o.Owner,
		}
	}
	return w.promises.Ordered(now, o.Epoch), nil
}

// endClaim records how a claim ended.
func (k *Keeper) endClaim(part string, result witness.Result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.witnessing(part).promises.EndClaim(result)
}

// Contacted records that another entry has pinged this one.
func (k *Keeper) Contacted(incarnation string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if incarnation == "" {
		return
	}
	now := k.deps.Clock.Now()
	for other, at := range k.contacts {
		if now.Sub(at) > contactRetention {
			delete(k.contacts, other)
		}
	}
	k.contacts[incarnation] = now
}

// forgetContact records that an entry did not answer a request for a promise. It is named again only
// after it has pinged this entry.
func (k *Keeper) forgetContact(incarnation string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.contacts, incarnation)
}

// chooseWitnesses returns the entries that an owner may name as witnesses of a part, in the order in
// which they would succeed it. They have pinged this entry lately. It returns none while an entry of
// an earlier version is listed: such an entry has no peer address in its row, and as a claimer it
// would not wait for an owner that acts by promises.
func (k *Keeper) chooseWitnesses(part string) []Member {
	listed := k.members()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.deps.Clock.Now()
	var list []Member
	earlier := ""
	for _, member := range listed {
		if member.Incarnation == k.self.Incarnation {
			continue
		}
		if member.Peer == "" {
			earlier = member.Incarnation
		}
		if at, found := k.contacts[member.Incarnation]; found && now.Sub(at) <= contactRetention {
			list = append(list, member)
		}
	}
	if earlier != k.earlierVersion {
		k.earlierVersion = earlier
		if earlier == "" {
			k.deps.Log.Info("all entries list a peer address, witnesses are named")
		} else {
			k.deps.Log.Info("entry without peer address listed, no witnesses named", "entry", earlier)
		}
	}
	if earlier != "" {
		return nil
	}
	slices.SortFunc(list, func(a, b Member) int { return compareSuccessors(part, a, b) })
	return list
}

// compareSuccessors orders entries by their rank as successors for a part; see Keeper.rank.
func compareSuccessors(part string, a, b Member) int {
	weightA, weightB := weight(part, a.Incarnation), weight(part, b.Incarnation)
	switch {
	case a.Cores > b.Cores || (a.Cores == b.Cores && weightA > weightB):
		return -1
	case a.Cores < b.Cores || weightA < weightB:
		return 1
	default:
		return 0
	}
}

// extend lets a tenure of this entry name witnesses. It does nothing if the extension is switched
// off.
func (k *Keeper) extend(t *tenure) {
	if k.deps.RequestPromise == nil || k.deps.OutageTimeout <= OwnerTimeout {
		return
	}
	t.promises.holder = witness.NewHolder(witness.Standard(), k.deps.OutageTimeout)
	t.promises.addresses = make(map[string]netip.AddrPort)
	t.promises.choose = func() []Member { return k.chooseWitnesses(t.part) }
	t.promises.request = k.deps.RequestPromise
	t.promises.unanswered = k.forgetContact
	t.promises.owner = k.self.Incarnation
}

// claimResult returns how a claim with the given error ended.
func claimResult(err error) witness.Result {
	var conflict *outside.ConflictError
	switch {
	case err == nil:
		return witness.ResultApplied
	case outside.IsNotDone(err), errors.As(err, &conflict):
		return witness.ResultFailed
	default:
		return witness.ResultUncertain
	}
}

// PromisedError reports that a claim was not sent because this entry has promised the owner not to
// claim the part.
type PromisedError struct {
	Part  string
	Owner string
}

// Error implements error.
func (e *PromisedError) Error() string {
	return "promised owner " + e.Owner + " not to claim " + e.Part
}
