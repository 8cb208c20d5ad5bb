package shard

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// workerRowBytes is the maximum size in bytes of one worker in a row, without names: the keys
	// and lengths of its fields, and the time.
	workerBytes = 24

	// taskRowBytes is the overhead in bytes of a task's name in a row.
	taskBytes = 3
)

// Handover is what an owner tells its successor about workers that the successor may be unable to
// reach. A worker that is not listed may run anything until its leases from earlier owners have
// expired. A handover is valid from when it was made until the same owner writes the next one.
type Handover struct {
	// Idle lists workers that certainly run nothing and on which no order of this owner or an
	// earlier one will start anything. Every end there that matters is stored in a row.
	Idle []string

	// Leased lists workers on which something may run.
	Leased []Leased

	// UnobservedFor is how long, counted from when the handover was made, a worker that is not
	// listed may run what an owner earlier than this one started. Such runs may outlive this
	// owner. The value only decreases from one handover to the next.
	Blind time.Duration
}

// Leased is a worker on which something may run, with what may run there and for how long.
type Leased struct {
	Worker string

	// Remaining is the longest time that the tasks may run, counted from when the handover was
	// made. It is a duration because the clocks of entries differ. It only decreases.
	Left time.Duration

	// AnyTask means that the worker may run any task known to an earlier owner. Otherwise Tasks
	// lists all tasks that it may run.
	Unknown bool
	Tasks   []job.TaskID
}

// BuildHandover returns what a successor must know about the workers, in a row of at most maxBytes
// bytes. final means that this owner gives no more orders and that every end it has processed is
// stored together with the handover. Otherwise only silent workers are listed, on which this owner
// starts and renews nothing. A listed worker that answers again is used only after a transaction
// that no longer lists it has been applied.
func (s *Shard) HandOver(now time.Time, final bool, maxBytes int) Handover {
	var all []Leased
	for id, w := range s.workers {
		switch {
		case final && w.recorded:
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
	h := cut(all, maxBytes)
	h.Blind = max(0, s.blindUntil.Sub(now))
	return h
}

// leased returns what may run on the worker.
func (w *workerState) leased(id string, now time.Time) Leased {
	l := Leased{
		Worker: id,
	}
	if !w.known {
		// This owner has not started or renewed anything there.
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

// truncateHandover keeps the workers that fit into maxBytes, the smallest first: those that run
// nothing, then those with few tasks. A successor treats an omitted worker as one that may run
// anything.
func cut(all []Leased, maxBytes int) Handover {
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
		if maxBytes -= sizes[l.Worker]; maxBytes < 0 {
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

// isIdle reports whether nothing can run on the worker.
func (l Leased) empty() bool {
	return l.Left == 0 || (!l.Unknown && len(l.Tasks) == 0)
}

// size returns the maximum number of bytes that the worker takes in a row.
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

// ApplyHandover applies the handover of the previous owner. read is when it was read; its durations
// are counted from then, which is safe because it was made earlier. The row with which this owner
// claimed the shard repeats the handover, so that it is not lost if this owner never writes.
// Nothing is therefore started or renewed before this owner's first transaction.
func (s *Shard) Inherit(h Handover, read time.Time) {
	for _, id := range h.Idle {
		s.idle[id] = true
	}
	for _, l := range h.Leased {
		s.leased[l.Worker] = l
	}
	s.handedAt = read
	// The limit set at the takeover covers the immediately preceding owner only.
	if until := read.Add(drifted(h.Blind)); until.After(s.blindUntil) {
		s.blindUntil = until
	}
	s.passedOn = len(h.Idle)+len(h.Leased) > 0
}

// RestoreWorker adds a worker to which the previous owner may have assigned tasks. It is polled
// whether or not it is registered.
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
	// This may exceed the limit set at the takeover, which covers the immediately preceding owner
	// only.
	w.blindUntil = s.handedAt.Add(drifted(l.Left))
	if l.Unknown {
		return
	}
	w.mayRun = make(map[job.TaskID]struct{}, len(l.Tasks))
	for _, task := range l.Tasks {
		w.mayRun[task] = struct{}{}
	}
}

// withClockDrift returns the longest time that a duration measured by another entry may take on
// this entry's clock. Clocks of entries may differ by as much as those of an entry and a worker.
func drifted(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (1 + clockDrift))
}

// unobservedTasks are the tasks that may run somewhere without this owner having observed them.
type blindness struct {
	// all means that any task known to an earlier owner may run. Otherwise tasks lists those
	// that may.
	all   bool
	tasks map[job.TaskID]struct{}
}

// unobserved returns the tasks that workers may still run because an earlier owner started them,
// and that this owner has not observed. Until the standby part is read, it may hold jobs that only
// an earlier owner knew, so that any task may run.
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

// contains reports whether tasks lists the task. It does not consider all.
func (b blindness) hides(id job.TaskID) bool {
	_, found := b.tasks[id]
	return found
}

// containsIdle reports whether tasks lists an idle task of the step.
func (b blindness) hidesAny(g group, step *stepState) bool {
	for _, index := range step.idle {
		if b.hides(g.task(index)) {
			return true
		}
	}
	return false
}

// logUnobserved logs once when the tasks that may run unobserved are limited to known ones, so that
// this owner can start all others, and once when no task of an earlier owner can run unobserved.
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

// isInHandover reports whether a row of this owner may still list the worker as one on which
// nothing is started or renewed.
func (s *Shard) isNamed(w *workerState) bool {
	return (s.passedOn && s.confirmed.IsZero()) || w.regained.After(s.confirmed)
}
