package witness_test

import (
	"fmt"
	"slices"
	"time"

	"lemonstream.dev/lemonstream/witness"
)

// began is the time that every clock shows at the beginning.
var began = time.UnixMilli(1_000_000)

// entry is an entry that owns the part, or watches its owner and may be a witness.
type entry struct {
	world       *world
	index       int
	lives       int
	incarnation string

	// rate is the speed of its clock.
	rate float64

	// cutUntil is until when the store is away for it, frozenUntil until when it is suspended,
	// upAt when its process runs.
	cutUntil, frozenUntil, upAt time.Duration

	tenure   *tenure
	promises *witness.Promises
	epoch    int64

	watched    row
	watchedAt  time.Time
	unchanged  time.Time
	lostSince  time.Time
	claiming   bool
	notBefore  time.Time
	needsStill time.Duration
}

// tenure is an ownership as its owner sees it.
type tenure struct {
	holder    *witness.Holder
	epoch     int64
	version   int64
	lastWrite time.Time

	// actsFrom is when the owner may do what an earlier one may still do.
	actsFrom time.Time

	writing   bool
	retryAt   time.Time
	sequence  int64
	attempted bool
}

// start begins a new incarnation.
func (e *entry) start() {
	e.lives++
	e.incarnation = fmt.Sprintf("e%d/%d", e.index, e.lives)
	e.tenure = nil
	e.promises = witness.NewPromises(e.world.rules, 5*time.Second)
	e.epoch = 0
	e.watched = row{}
	e.unchanged = time.Time{}
	e.lostSince = time.Time{}
	e.claiming = false
	e.frozenUntil = 0
	e.needsStill = 300 * time.Millisecond
	if e.world.chance(0.5) {
		e.needsStill = 750 * time.Millisecond
	}
}

func (e *entry) cut(now time.Duration) bool { return e.cutUntil > now }

// clock returns the time on the entry's own clock.
func (e *entry) clock() time.Time {
	return began.Add(time.Duration(float64(e.world.now) * e.rate))
}

func (e *entry) age() time.Duration { return e.clock().Sub(e.tenure.lastWrite) }

// acts reports whether the entry would act now, as an owner that checks before each order.
func (e *entry) acts() bool {
	t := e.tenure
	return t != nil && e.upAt <= e.world.now && e.frozenUntil <= e.world.now &&
		!e.clock().Before(t.actsFrom) && t.holder.MayAct(e.clock(), t.lastWrite, e.world.kind.base)
}

func (e *entry) step() {
	if e.tenure == nil {
		e.watch()
		return
	}
	t := e.tenure
	if !t.holder.MayAct(e.clock(), t.lastWrite, ownedTimeout) {
		e.tenure = nil
		return
	}
	if !t.writing && !e.clock().Before(t.retryAt) && e.age() >= beatInterval {
		e.write(t)
	}
	if t.holder.NextRequest(e.clock(), t.lastWrite) {
		for _, name := range t.holder.Required() {
			e.ask(t, name)
		}
	}
}

// write sends the next heartbeat, and the same one again until its result is known.
func (e *entry) write(t *tenure) {
	w := e.world
	if !t.attempted {
		w.nextTransaction++
		t.sequence = w.nextTransaction
		t.attempted = true
	}
	names := t.holder.Name(e.choose)
	sent := e.clock()
	version, sequence := t.version, t.sequence
	t.writing = true
	stored := int64(0)
	w.transact(e, func() bool {
		switch {
		case w.row.transaction == sequence:
			stored = w.row.version
		case w.row.version == version:
			w.row.version++
			w.row.witnesses = names
			w.row.transaction = sequence
			w.row.unobserved = max(0, t.actsFrom.Sub(sent))
			stored = w.row.version
		}
		return stored != 0
	}, func(o outcome) {
		t.writing = false
		t.retryAt = e.clock().Add(retryPause)
		switch o {
		case applied:
			t.version = stored
			t.lastWrite = sent
			t.attempted = false
			t.holder.Applied()
		case conflict:
			e.tenure = nil
		}
	})
}

// choose returns other entries, not always the same.
func (e *entry) choose() []string {
	var names []string
	for _, i := range e.world.draw.Perm(len(e.world.entries)) {
		if other := e.world.entries[i]; other != e && len(names) < 1+e.world.draw.IntN(witness.MaxNamed) {
			names = append(names, other.incarnation)
		}
	}
	return names
}

// ask requests a promise. An answer that comes late is used as well: a suspended owner handles it
// when it continues.
func (e *entry) ask(t *tenure, name string) {
	w := e.world
	other := w.find(name, nil)
	if other == nil || w.chance(0.05) {
		return
	}
	sent := e.clock()
	if w.chance(0.01) {
		// The owner is suspended while answers are under way.
		e.frozenUntil = w.now + w.between(100*time.Millisecond, 4*time.Second)
	}
	w.after(w.delay(), other, func() {
		other.answer(t.epoch, func(span time.Duration) {
			if span == 0 || w.chance(0.05) {
				return
			}
			w.after(w.delay(), e, func() { t.holder.Promised(name, sent, e.clock(), span) })
		})
	})
}

// answer handles a request for a promise.
func (e *entry) answer(epoch int64, done func(span time.Duration)) {
	e.world.read(e, func(r row, ok bool) {
		if ok {
			e.promises.ObserveBeat(r.epoch, r.version)
		}
		span, _ := e.promises.Grant(e.clock(), witness.Request{
			Epoch: epoch,
		}, witness.Known{
			Epoch:    e.epoch,
			Readable: ok,
		})
		done(span)
	})
}

// watch reads the row now and then, and claims the part once its owner is lost.
func (e *entry) watch() {
	now := e.clock()
	if e.claiming || now.Sub(e.watchedAt) < watchPause {
		return
	}
	e.watchedAt = now
	e.world.read(e, func(r row, ok bool) {
		if !ok {
			e.unchanged = time.Time{}
			return
		}
		e.observe(r)
	})
}

func (e *entry) observe(r row) {
	now := e.clock()
	e.epoch = max(e.epoch, r.epoch)
	if e.unchanged.IsZero() || r.version != e.watched.version {
		e.watched = r
		e.unchanged = now
		e.lostSince = time.Time{}
	}
	owner := e.world.find(r.owner, nil)
	ended := r.owner == "" || r.owner == e.incarnation || owner == nil
	if !ended && now.Sub(e.unchanged) < e.needsStill {
		return
	}
	if e.lostSince.IsZero() {
		e.lostSince = now
	}
	wait := rankDelay * time.Duration(e.index)
	if e.outsider(r) && !ended {
		wait += witness.OutsiderDelay
	}
	if e.claiming || e.tenure != nil || now.Before(e.notBefore) || now.Sub(e.lostSince) < wait || (!ended && !e.promises.MayClaim(now)) {
		return
	}
	e.claim(now, ended)
}

func (e *entry) outsider(r row) bool {
	return len(r.witnesses) > 0 && !slices.Contains(r.witnesses, e.incarnation)
}

// claim reads the row again and claims the part if it is still unchanged.
func (e *entry) claim(now time.Time, ended bool) {
	w := e.world
	e.claiming = true
	e.notBefore = now.Add(claimPause)
	version, unchanged := e.watched.version, now.Sub(e.unchanged)
	w.read(e, func(r row, ok bool) {
		at := e.clock()
		if ok {
			e.promises.ObserveBeat(r.epoch, r.version)
		}
		if !ok || r.version != version || !e.promises.BeginClaim(at, r.epoch, r.version, ended) {
			e.claiming = false
			return
		}
		e.sendClaim(r, now, unchanged, ended)
	})
}

func (e *entry) sendClaim(before row, now time.Time, unchanged time.Duration, ended bool) {
	w := e.world
	outsider := !ended && e.outsider(before)
	wait := time.Duration(0)
	switch {
	case outsider:
		wait = max(w.kind.wait, w.rules.OutsiderWait(unchanged))
	case !ended:
		wait = w.kind.wait
	}
	wait = max(wait, witness.Lengthen(before.unobserved))
	incarnation := e.incarnation
	asWitness := !ended && !outsider && len(before.witnesses) > 0
	if asWitness {
		w.claims[before.version]++
	}
	stored := int64(0)
	w.transact(e, func() bool {
		if w.row.version == before.version {
			w.nextTransaction++
			w.row = row{
				version:     before.version + 1,
				epoch:       before.epoch + 1,
				owner:       incarnation,
				transaction: w.nextTransaction,
				unobserved:  wait,
			}
			stored = w.row.version
			w.replaced[before.epoch] = asWitness
			w.taken++
			if outsider {
				w.outside++
			}
			return true
		}
		return false
	}, func(o outcome) {
		e.claiming = false
		e.promises.EndClaim(o.result())
		switch o {
		case applied:
			e.epoch = before.epoch + 1
			e.tenure = &tenure{
				holder:    witness.NewHolder(w.rules, witness.Limit),
				epoch:     e.epoch,
				version:   stored,
				lastWrite: now,
				actsFrom:  e.clock().Add(wait),
			}
		case notDone:
			if asWitness {
				w.claims[before.version]--
			}
		case conflict, uncertain:
		}
	})
	if w.chance(0.2) {
		// The store goes away for the claimer while its claim is under way.
		e.cutUntil = w.now + w.between(time.Second, 6*time.Second)
	}
}

// result returns the outcome of a claim as a witness records it.
func (o outcome) result() witness.Result {
	switch o {
	case applied:
		return witness.ResultApplied
	case uncertain:
		return witness.ResultUncertain
	default:
		return witness.ResultFailed
	}
}
