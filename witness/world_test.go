package witness_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lemonstream.dev/lemonstream/witness"
)

const (
	tick         = 10 * time.Millisecond
	beatInterval = 500 * time.Millisecond
	retryPause   = 60 * time.Millisecond
	watchPause   = 250 * time.Millisecond
	claimPause   = 500 * time.Millisecond
	rankDelay    = 200 * time.Millisecond
	ownedTimeout = 4 * time.Second

	// maxDelay bounds a message that is not late, maxLate one that is.
	maxDelay = 30 * time.Millisecond
	maxLate  = 2 * time.Second

	// maxRate is the largest deviation of an entry's clock, as the platform says: 1% each way.
	maxRate = 0.01
)

// outcome is the result of a transaction as its sender sees it.
type outcome int

const (
	applied outcome = iota
	conflict
	notDone
	uncertain
)

// kind holds the bounds of a kind of part.
type kind struct {
	// base is how long an owner acts after its last write without promises. wait is how long a
	// claimer then waits after its claim before it does what the previous owner may still do.
	base, wait time.Duration
}

// kinds are those of a service and of the instances, as package owner has them.
var kinds = []kind{{
	base: ownedTimeout,
	wait: ownedTimeout - 750*time.Millisecond,
}, {
	base: time.Second,
	wait: 550 * time.Millisecond,
}}

// row is the owner's row and the heartbeat row of the part in one.
type row struct {
	version, epoch int64
	owner          string
	witnesses      []string
	transaction    int64

	// unobserved is how long after it was written earlier owners may still act.
	unobserved time.Duration
}

// event is something that happens at an entry, or at the store if entry is nil. An entry that is
// frozen handles it once it continues, one that has ended never.
type event struct {
	at          time.Duration
	entry       *entry
	incarnation string
	run         func()
}

// world is a part, its store and the entries, in virtual time.
type world struct {
	draw  *rand.Rand
	rules witness.Rules
	kind  kind

	now     time.Duration
	events  []event
	row     row
	entries []*entry

	// claims counts, for each version of the row, the claims of witnesses that check it and may
	// still be applied. replaced holds the epochs of the owners that a witness has replaced.
	claims   map[int64]int
	replaced map[int64]bool

	nextTransaction int64

	// continued counts the ticks in which an owner acted by promises. taken counts the claims
	// that were applied, outside those of entries that were no witnesses.
	continued, taken, outside int
	violation                 string
}

func newWorld(seed uint64, rules witness.Rules) *world {
	w := &world{
		draw:     rand.New(rand.NewPCG(seed, 1)),
		rules:    rules,
		claims:   make(map[int64]int),
		replaced: make(map[int64]bool),
	}
	w.kind = kinds[w.draw.IntN(len(kinds))]
	for i := range 3 + w.draw.IntN(4) {
		e := &entry{
			world: w,
			index: i,
			rate:  1 + maxRate*(2*w.draw.Float64()-1),
		}
		e.start()
		w.entries = append(w.entries, e)
	}
	return w
}

// chance reports true with the given probability.
func (w *world) chance(p float64) bool {
	return w.draw.Float64() < p
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.draw.Int64N(int64(most-least)))
}

// delay returns how long a message takes.
func (w *world) delay() time.Duration {
	if w.chance(0.02) {
		return w.between(maxDelay, maxLate)
	}
	return w.between(time.Millisecond, maxDelay)
}

func (w *world) after(d time.Duration, e *entry, run func()) {
	ev := event{
		at:    w.now + d,
		entry: e,
		run:   run,
	}
	if e != nil {
		ev.incarnation = e.incarnation
	}
	w.events = append(w.events, ev)
}

// step advances the world by one tick.
func (w *world) step() {
	w.now += tick
	due := w.events
	w.events = nil
	for _, ev := range due {
		switch {
		case ev.entry != nil && ev.entry.incarnation != ev.incarnation:
		case ev.at > w.now || (ev.entry != nil && ev.entry.frozenUntil > w.now):
			w.events = append(w.events, ev)
		default:
			ev.run()
		}
	}
	for _, e := range w.entries {
		if e.upAt <= w.now && e.frozenUntil <= w.now {
			e.step()
		}
	}
	w.check()
}

// check records a violation if an owner acts by promises although a later owner acts, or although a
// claim of a witness may be applied.
func (w *world) check() {
	for _, e := range w.entries {
		if !e.acts() || e.age() <= w.kind.base {
			continue
		}
		w.continued++
		epoch := e.tenure.epoch
		if w.replaced[epoch] || (epoch == w.row.epoch && w.claims[w.row.version] > 0) {
			w.fail("%s acts by promises beside a claim of a witness", e.incarnation)
		}
		for _, other := range w.entries {
			if other.acts() && other.tenure.epoch > e.tenure.epoch {
				w.fail("%s acts by promises beside %s", e.incarnation, other.incarnation)
			}
		}
	}
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// transact sends a transaction of an entry to the store. apply is called at the store and reports
// whether it was applied; done is called at the entry with the result.
func (w *world) transact(e *entry, apply func() bool, done func(o outcome)) {
	if e.cut(w.now) {
		if w.chance(0.5) {
			w.after(w.delay(), e, func() { done(notDone) })
			return
		}
		w.after(200*time.Millisecond, e, func() { done(uncertain) })
		return
	}
	answered := false
	answer := func(o outcome) {
		if !answered {
			answered = true
			done(o)
		}
	}
	w.after(w.delay(), nil, func() {
		o := conflict
		if apply() {
			o = applied
		}
		if !e.cut(w.now) && !w.chance(0.05) {
			w.after(w.delay(), e, func() { answer(o) })
		}
	})
	w.after(300*time.Millisecond, e, func() { answer(uncertain) })
}

// read reads the row for an entry; ok is false if the store did not answer.
func (w *world) read(e *entry, done func(r row, ok bool)) {
	if e.cut(w.now) {
		w.after(w.between(time.Millisecond, 120*time.Millisecond), e, func() { done(row{}, false) })
		return
	}
	w.after(w.delay(), nil, func() {
		r := w.row
		w.after(w.delay(), e, func() { done(r, true) })
	})
}

// trouble lets faults begin.
func (w *world) trouble() {
	pick := func() *entry { return w.entries[w.draw.IntN(len(w.entries))] }
	until := w.now + w.between(200*time.Millisecond, 14*time.Second)
	switch w.draw.IntN(6) {
	case 0:
		for _, e := range w.entries {
			e.cutUntil = until
		}
	case 1, 2:
		// The store is away for the owner and for some others, its witnesses more often.
		for _, e := range w.entries {
			named := false
			for _, name := range w.row.witnesses {
				named = named || name == e.incarnation
			}
			if e.incarnation == w.row.owner || (named && w.chance(0.8)) || w.chance(0.2) {
				e.cutUntil = until
			}
		}
	case 3:
		pick().cutUntil = until
	case 4:
		e := pick()
		if w.chance(0.5) {
			e = w.find(w.row.owner, e)
		}
		e.frozenUntil = w.now + w.between(100*time.Millisecond, 5*time.Second)
	default:
		e := pick()
		e.start()
		e.upAt = w.now + w.between(200*time.Millisecond, 3*time.Second)
	}
}

// find returns the entry of an incarnation, or otherwise.
func (w *world) find(incarnation string, otherwise *entry) *entry {
	for _, e := range w.entries {
		if e.incarnation == incarnation {
			return e
		}
	}
	return otherwise
}

// run plays a day.
func (w *world) run(length time.Duration) {
	nextTrouble := 3 * time.Second
	for w.now < length && w.violation == "" {
		if w.now >= nextTrouble {
			w.trouble()
			nextTrouble = w.now + w.between(500*time.Millisecond, 12*time.Second)
		}
		w.step()
	}
}
