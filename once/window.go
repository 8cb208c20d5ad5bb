package once

import "sync"

// Verdicts on a claim.
const (
	// Granted lets the attempt run the request.
	Granted Verdict = iota + 1

	// Duplicate means that another attempt was granted the identity.
	Duplicate

	// NotCovered means that the identity was issued outside of the range that
	// this home may grant: another home may have granted it.
	NotCovered

	// NotHome means that the entry is not the home of the partition.
	NotHome
)

const (
	// slotMillis is the width of a slot of remembered identities.
	slotMillis = 10_000

	// rememberMillis is how long a home remembers an identity after its time
	// of issue; an older one is not covered any more.
	rememberMillis = 600_000

	// rememberMost bounds the identities remembered in a partition.
	rememberMost = 100_000
)

// Grant is an identity with the attempt that may run it.
type Grant struct {
	Key     Key    `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
}

// Guards are the checks that carry the promise of at most once. Each is a
// field, so that a test can replace it by one that always agrees and see the
// promise break.
type Guards struct {
	// Covers decides whether a home with the range from start to end may
	// grant what was issued then; all are in milliseconds.
	Covers func(issued, start, end int64) bool

	// Free decides whether attempt may have an identity that holder has.
	Free func(holder, attempt string) bool
}

// AllGuards returns the guards that hold the promise.
func AllGuards() Guards {
	return Guards{
		Covers: func(issued, start, end int64) bool { return start <= issued && issued < end },
		Free:   func(holder, attempt string) bool { return holder == attempt },
	}
}

// Verdict is the answer to a claim.
type Verdict int

// Window is what a home knows of one partition.
type Window struct {
	guards Guards

	mu sync.Mutex

	// start and end bound the issue times that may be granted, in
	// milliseconds: start <= issued < end. start only grows.
	start int64
	end   int64

	// closed is set when the window was handed over.
	closed bool

	// slots maps an issue time divided by slotMillis to the grants issued in
	// it; no slot ends before start.
	slots map[int64]map[Key]string

	// count is the number of grants in all slots, at most rememberMost.
	count int
}

// NewWindow returns a window over the given range which has already granted
// what seen lists.
func NewWindow(guards Guards, start, end int64, seen []Grant) *Window {
	w := &Window{
		guards: guards,
		start:  start,
		end:    end,
		slots:  make(map[int64]map[Key]string),
	}
	for _, grant := range seen {
		w.put(grant.Key, grant.Attempt)
	}
	return w
}

// Claim grants the identity to the first attempt that asks, and to the same
// attempt again when its answer was lost. now is in milliseconds.
func (w *Window) Claim(key Key, attempt string, now int64) Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forget(now)
	issued := key.Issued()
	if w.closed || !w.guards.Covers(issued, w.start, w.end) {
		return NotCovered
	}
	if holder, found := w.slots[issued/slotMillis][key]; found {
		if w.guards.Free(holder, attempt) {
			return Granted
		}
		return Duplicate
	}
	w.put(key, attempt)
	return Granted
}

// Close ends the window for good and returns everything it remembers.
func (w *Window) Close() []Grant {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	grants := make([]Grant, 0, w.count)
	for _, slot := range w.slots {
		for key, attempt := range slot {
			grants = append(grants, Grant{
				Key:     key,
				Attempt: attempt,
			})
		}
	}
	return grants
}

// Extend moves the end forward; it never moves back.
func (w *Window) Extend(end int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end = max(w.end, end)
}

// Release forgets a grant that its attempt never used.
func (w *Window) Release(key Key, attempt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	slot := w.slots[key.Issued()/slotMillis]
	if slot[key] == attempt && attempt != "" {
		delete(slot, key)
		w.count--
	}
}

// Start returns the earliest issue time that may be granted.
func (w *Window) Start() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.start
}

// forget drops the oldest slots that are too old or too many, and raises
// start above them so that what was forgotten is never granted again.
func (w *Window) forget(now int64) {
	for slot, grants := range w.slots {
		if (slot+1)*slotMillis > now-rememberMillis {
			continue
		}
		w.drop(slot, grants)
	}
	for w.count >= rememberMost {
		oldest := int64(-1)
		for slot := range w.slots {
			if oldest < 0 || slot < oldest {
				oldest = slot
			}
		}
		w.drop(oldest, w.slots[oldest])
	}
}

func (w *Window) drop(slot int64, grants map[Key]string) {
	w.start = max(w.start, (slot+1)*slotMillis)
	w.count -= len(grants)
	delete(w.slots, slot)
}

func (w *Window) put(key Key, attempt string) {
	slot := key.Issued() / slotMillis
	grants, found := w.slots[slot]
	if !found {
		grants = make(map[Key]string)
		w.slots[slot] = grants
	}
	grants[key] = attempt
	w.count++
}
