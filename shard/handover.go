package shard

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// workerBytes is what one worker takes in a row beside the names, at most: the
	// keys and lengths of its fields, and the time.
	workerBytes = 24

	// taskBytes is what the name of a task takes beside its text.
	taskBytes = 3
)

// Handover is what an owner tells its successor of the workers that the successor
// may not reach. What it does not name may run anything for as long as BlindFor
// says. All of it holds from when it was made, whatever happens later, until the
// same owner has written another one.
type Handover struct {
	// Idle names workers on which nothing runs for sure, nor will by an order of
	// this owner or one before. Every end there that counts stands in a row.
	Idle []string

	// Leased holds workers on which something may run.
	Leased []Leased

	// Blind is for how long after the handover was made a worker that it does not name
	// may run what an owner before this one started: that may live longer than this
	// owner does. It only shrinks.
	Blind time.Duration
}

// Leased is what may run on one worker.
type Leased struct {
	Worker string

	// Left is how long after the handover was made it may run at the most: a span
	// and not an instant, since the clocks of entries differ. It only shrinks.
	Left time.Duration

	// Unknown says that it may be any task that an earlier owner knew of; otherwise
	// Tasks holds all that it may be.
	Unknown bool
	Tasks   []job.TaskID
}

// HandOver returns what a successor has to know of the workers, in a row of at most
// the given number of bytes. last says that this owner gives no order any more and
// that every end that it has taken in stands in a row with the handover. Otherwise
// only silent workers are named, on which it starts and renews nothing: before one
// that answers again is used, a transaction has to be applied that no longer names
// it.
func (s *Shard) HandOver(now time.Time, last bool, most int) Handover {
	var all []Leased
	for id, w := range s.workers {
		switch {
		case last && w.recorded:
			all = append(all, w.leased(id, now))
		case w.lapsed(now):
			w.named = true
			all = append(all, Leased{
				Worker: id,
			})
		case !w.known && w.failures > 0 && w.recorded:
			w.named = true
			all = append(all, w.leased(id, now))
		}
	}
	for id := range s.unrecord {
		all = append(all, Leased{
			Worker: id,
		})
	}
	h := cut(all, most)
	h.Blind = max(0, s.blindUntil.Sub(now))
	return h
}

// leased returns what may run on a worker.
func (w *workerState) leased(id string, now time.Time) Leased {
	l := Leased{
		Worker: id,
	}
	if !w.known {
		// This owner has started and renewed nothing there.
		l.Left = max(0, w.blindUntil.Sub(now))
		l.Unknown = w.mayRun == nil
		for task := range w.mayRun {
			l.Tasks = append(l.Tasks, task)
		}
		return l
	}
	l.Left = max(0, w.until.Sub(now))
	for task := range w.runs {
		l.Tasks = append(l.Tasks, task)
	}
	l.Tasks = w.deferredTasks(l.Tasks)
	return l
}

// cut keeps what fits into a row: first the workers that run nothing, then those
// with few tasks. Workers that are left out are waited for as if nothing were known.
func cut(all []Leased, most int) Handover {
	var h Handover
	sizes := make(map[string]int, len(all))
	for _, l := range all {
		sizes[l.Worker] = l.size()
	}
	sort.Slice(all, func(a, b int) bool {
		if sizeA, sizeB := sizes[all[a].Worker], sizes[all[b].Worker]; sizeA != sizeB {
			return sizeA < sizeB
		}
		return all[a].Worker < all[b].Worker
	})
	for _, l := range all {
		if most -= sizes[l.Worker]; most < 0 {
			break
		}
		if l.empty() {
			h.Idle = append(h.Idle, l.Worker)
			continue
		}
		h.Leased = append(h.Leased, l)
	}
	sort.Strings(h.Idle)
	return h
}

// empty reports whether nothing can run.
func (l Leased) empty() bool {
	return l.Left == 0 || (!l.Unknown && len(l.Tasks) == 0)
}

// size returns how many bytes of a row the worker takes at the most.
func (l Leased) size() int {
	size := workerBytes + len(l.Worker)
	if l.empty() {
		return size
	}
	for _, task := range l.Tasks {
		size += taskBytes + len(task.String())
	}
	return size
}

// Inherit takes in what the owner before has handed over. read is when it was read:
// what is left of its spans counts from then at the earliest. The row of this owner's
// claim passes it on, so that it is lost to nobody if this owner never writes: until
// the first transaction, nothing is started or renewed.
func (s *Shard) Inherit(h Handover, read time.Time) {
	for _, id := range h.Idle {
		s.idle[id] = true
	}
	for _, l := range h.Leased {
		s.leased[l.Worker] = l
	}
	s.handedAt = read
	// BlindFor knows of the owner just before only.
	if until := read.Add(drifted(h.Blind)); until.After(s.blindUntil) {
		s.blindUntil = until
	}
	s.passedOn = len(h.Idle)+len(h.Leased) > 0
}

// InheritWorker takes in a worker that the owner before may have given tasks. It
// is looked at whether or not it is registered.
func (s *Shard) InheritWorker(ref outside.WorkerRef, now time.Time) {
	w := s.newWorker(ref.ID, now)
	w.reg = outside.Registration{
		ID:      ref.ID,
		Service: s.name,
		Address: ref.Address,
	}
	w.unlisted = now
	w.recorded = true
	if s.idle[ref.ID] {
		return
	}
	w.blindUntil = s.blindUntil
	l, found := s.leased[ref.ID]
	if !found {
		return
	}
	// This may be longer than BlindFor, which knows of the owner just before only.
	w.blindUntil = s.handedAt.Add(drifted(l.Left))
	if l.Unknown {
		return
	}
	w.mayRun = make(map[job.TaskID]struct{}, len(l.Tasks))
	for _, task := range l.Tasks {
		w.mayRun[task] = struct{}{}
	}
}

// drifted returns how long another entry's span may take by this one's clock: the clocks
// of entries need not agree better than ours with a worker's.
func drifted(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (1 + clockDrift))
}

// blindness is what may run somewhere without this owner having seen it.
type blindness struct {
	// all says that it may be any task that an earlier owner knew of; otherwise
	// tasks holds what it may be.
	all   bool
	tasks map[job.TaskID]struct{}
}

// blind returns what workers may still run that an earlier owner started there
// without this one having seen it. The standby part may hold what an earlier owner
// wrote, as long as it is not read.
func (s *Shard) blind(now time.Time) blindness {
	if s.standbyUnread {
		return blindness{
			all: true,
		}
	}
	b := blindness{
		tasks: make(map[job.TaskID]struct{}),
	}
	for _, w := range s.workers {
		if w.known || !now.Before(w.blindUntil) {
			continue
		}
		if w.mayRun == nil {
			b.all = true
			return b
		}
		for task := range w.mayRun {
			b.tasks[task] = struct{}{}
		}
	}
	return b
}

// hides reports whether a task may run unseen.
func (b blindness) hides(id job.TaskID) bool {
	_, hidden := b.tasks[id]
	return hidden
}

// hidesAny reports whether an idle task of a step may run unseen.
func (b blindness) hidesAny(g group, step *stepState) bool {
	for _, index := range step.idle {
		if b.hides(g.task(index)) {
			return true
		}
	}
	return false
}

// reportSight logs, once each, when a new owner starts all but some tasks, and when
// nothing of an earlier owner can run unseen any more.
func (s *Shard) reportSight(now time.Time) {
	if s.sighted {
		return
	}
	b := s.blind(now)
	if b.all {
		return
	}
	s.sighted = len(b.tasks) == 0
	if s.sighted || !s.seesMost {
		s.opts.Report("runs of earlier owners seen", "after_ms", now.Sub(s.taken).Milliseconds(), "unseen", len(b.tasks))
	}
	s.seesMost = true
}

// isNamed reports whether a row of this owner may still name a worker as one where
// nothing is started or renewed.
func (s *Shard) isNamed(w *workerState) bool {
	return (s.passedOn && s.confirmed.IsZero()) || w.regained.After(s.confirmed)
}
