package shard

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outlier"
	"lemonstream.dev/lemonstream/outside"
)

const (
	// workerRowBytes is the maximum size in bytes of one worker in a row, without names: the keys
	// and lengths of its fields, and the time.
	workerRowBytes = 24

	// taskRowBytes is the overhead in bytes of a task's name in a row.
	taskRowBytes = 3
)

// Handover is what an owner reports to its successor about workers that the successor may be unable
// to reach. A worker that is not listed may run anything until its leases from earlier owners have
// expired. A handover is valid from when it was made until the same owner writes the next one.
type Handover struct {
	// Idle lists workers that certainly run nothing and on which no order of this owner or an
	// earlier one will start anything. Every end there that matters is stored in a row.
	Idle []string

	// Leased lists workers on which something may run or have an end that no owner has read.
	Leased []Leased

	// Evidence is what speaks against workers, the worst first.
	Evidence []outlier.Evidence

	// UnobservedFor is how long, counted from when the handover was made, a worker that is not
	// listed may run what an owner earlier than this one started, or what runs under a lease that
	// an order for a former incarnation of the worker extended. Such runs may outlive this owner.
	UnobservedFor time.Duration
}

// Leased is a worker on which something may run, with what may run there and for how long.
type Leased struct {
	Worker string

	// Remaining is the longest time that the tasks may run, counted from when the handover was
	// made. It is a duration because the clocks of entries differ. It only decreases.
	Remaining time.Duration

	// AnyTask means that the worker may run any task known to an earlier owner. Otherwise Tasks
	// lists all tasks that it may run or whose end there may be unread.
	AnyTask bool
	Tasks   []job.TaskID
}

// BuildHandover returns what a successor must know about the workers, in a row of at most maxBytes
// bytes. final means that this owner gives no more orders and that every end it has processed is
// stored together with the handover. Otherwise only silent workers are listed, on which this owner
// starts and renews nothing. A listed worker that answers again is used only after a transaction
// that no longer lists it has been applied.
func (s *Shard) BuildHandover(now time.Time, final bool, maxBytes int) Handover {
	var all []Leased
	for id, w := range s.workers {
		switch {
		case final && w.recorded:
			all = append(all, s.leased(w, now))
		case w.hasLapsed(now):
			w.inHandover = true
			all = append(all, Leased{
				Worker: id,
			})
		case !w.contacted && w.failures > 0 && w.recorded:
			w.inHandover = true
			all = append(all, s.leased(w, now))
		}
	}
	for id := range s.workerRowsToDelete {
		all = append(all, Leased{
			Worker: id,
		})
	}
	h := truncateHandover(all, maxBytes)
	h.Evidence = s.evidence(now)
	until := s.unobservedUntil
	for _, w := range s.workers {
		if !w.observed {
			// An inherited lease may last longer.
			until = latestOf(until, w.unobservedUntil)
		}
		until = latestOf(until, w.formerLeaseEnd)
	}
	h.UnobservedFor = max(0, until.Sub(now))
	return h
}

// leased returns what may run on the worker or have an unread end there.
func (s *Shard) leased(w *workerState, now time.Time) Leased {
	end := w.leaseEnd
	for _, r := range w.runs {
		end = latestOf(end, s.lateStartEnd(r, now))
	}
	l := Leased{
		Worker:    w.reg.ID,
		Remaining: max(0, end.Sub(now)),
	}
	if !w.observed {
		l.Remaining = max(l.Remaining, w.unobservedUntil.Sub(now))
		l.AnyTask = w.unobservedTasks == nil
		for task := range w.unobservedTasks {
			if _, found := w.runs[task]; !found {
				l.Tasks = append(l.Tasks, task)
			}
		}
	}
	for task := range w.runs {
		l.Tasks = append(l.Tasks, task)
	}
	l.Tasks = w.appendDeferredTasks(l.Tasks)
	return l
}

// truncateHandover keeps the workers that fit into maxBytes, the smallest first: those that run
// nothing, then those with few tasks. A successor treats an omitted worker as one that may run
// anything.
func truncateHandover(all []Leased, maxBytes int) Handover {
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
		if l.isIdle() {
			h.Idle = append(h.Idle, l.Worker)
			continue
		}
		h.Leased = append(h.Leased, l)
	}
	sort.Strings(h.Idle)
	return h
}

// isIdle reports whether nothing can run on the worker.
func (l Leased) isIdle() bool {
	return l.Remaining == 0 || (!l.AnyTask && len(l.Tasks) == 0)
}

// size returns the maximum number of bytes that the worker takes in a row.
func (l Leased) size() int {
	size := workerRowBytes + len(l.Worker)
	if l.isIdle() {
		return size
	}
	for _, task := range l.Tasks {
		size += taskRowBytes + len(task.String())
	}
	return size
}

// ApplyHandover applies the handover of the previous owner. read is when it was read; its durations
// are counted from then, which is safe because it was made earlier. The row with which this owner
// claimed the shard repeats the handover, so that it is not lost if this owner never writes.
// Nothing is therefore started or renewed before this owner's first transaction.
func (s *Shard) ApplyHandover(h Handover, read time.Time) {
	for _, id := range h.Idle {
		s.idleWorkers[id] = true
	}
	for _, l := range h.Leased {
		s.inheritedLeases[l.Worker] = l
	}
	s.handoverReadAt = read
	s.inheritEvidence(h.Evidence)
	// The limit set at the takeover covers the immediately preceding owner only.
	s.earlierUntil = read.Add(withClockDrift(h.UnobservedFor))
	s.unobservedUntil = latestOf(s.unobservedUntil, s.earlierUntil)
	s.claimHasHandover = len(h.Idle)+len(h.Leased) > 0
}

// UnobservedWait returns the longest time for which a worker that this owner does not reach may run
// what earlier owners started.
func (s *Shard) UnobservedWait(now time.Time) time.Duration {
	until := s.unobservedUntil
	for _, l := range s.inheritedLeases {
		until = latestOf(until, s.handoverReadAt.Add(withClockDrift(l.Remaining)))
	}
	return max(0, until.Sub(now))
}

// PreviousOwnerEnded shortens the wait for workers that can't be reached, because the process of the
// owner just before has ended by now: it renews no lease any more. The wait for the owners before that
// one remains.
func (s *Shard) PreviousOwnerEnded(now time.Time) {
	until := latestOf(s.earlierUntil, now.Add(s.opts.Lease+s.opts.Lease/20))
	if !until.Before(s.unobservedUntil) {
		return
	}
	s.opts.LogEvent("previous owner has ended", "wait_ms", until.Sub(now).Milliseconds(), "before_ms", s.unobservedUntil.Sub(now).Milliseconds())
	for _, w := range s.workers {
		if w.unobservedUntil.Equal(s.unobservedUntil) {
			w.unobservedUntil = until
		}
	}
	s.unobservedUntil = until
}

// RestoreWorker adds a worker to which the previous owner may have assigned tasks, as the incarnation
// that the row of that owner names. It is polled whether or not it is registered.
func (s *Shard) RestoreWorker(ref outside.WorkerRef, now time.Time) {
	w := s.addWorker(ref.ID, now)
	w.reg = outside.Registration{
		ID:      ref.ID,
		Service: s.name,
		Address: ref.Address,
	}
	w.unlistedAt = now
	w.recorded = true
	w.recordedBorn = ref.Born
	w.inherited = true
	if s.idleWorkers[ref.ID] {
		return
	}
	w.unobservedUntil = s.unobservedUntil
	l, found := s.inheritedLeases[ref.ID]
	if !found {
		return
	}
	// This may exceed the limit set at the takeover, which covers the immediately preceding owner
	// only.
	w.unobservedUntil = s.handoverReadAt.Add(withClockDrift(l.Remaining))
	if l.AnyTask {
		return
	}
	w.unobservedTasks = make(map[job.TaskID]struct{}, len(l.Tasks))
	for _, task := range l.Tasks {
		w.unobservedTasks[task] = struct{}{}
	}
}

// withClockDrift returns the longest time that a duration measured by another entry may take on
// this entry's clock. Clocks of entries may differ by as much as those of an entry and a worker.
func withClockDrift(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (1 + maxClockDrift))
}

// isUnobserved reports whether the worker may have a run of an earlier owner, or an end of one,
// that this owner has not observed. A worker that has answered keeps the ends that it has not listed,
// since polls renew its lease.
func (w *workerState) isUnobserved(now time.Time) bool {
	return !w.observed && (w.contacted || now.Before(w.unobservedUntil))
}

// unobservedTasks are the tasks that may run somewhere without this owner having observed them.
type unobservedTasks struct {
	// all means that any task known to an earlier owner may run. Otherwise tasks lists those
	// that may.
	all   bool
	tasks map[job.TaskID]struct{}

	// until is when the last of them have certainly ended. It is not set with all.
	until time.Time
}

// unobserved returns the tasks that workers may still run, or whose ends they may not have listed,
// because an earlier owner started them, and that this owner has not observed. Until the standby
// partition is read, it may hold jobs that only an earlier owner knew, so that any task may run.
func (s *Shard) unobserved(now time.Time) unobservedTasks {
	if s.standbyUnread {
		return unobservedTasks{
			all: true,
		}
	}
	b := unobservedTasks{
		tasks: make(map[job.TaskID]struct{}),
	}
	for _, w := range s.workers {
		if !w.isUnobserved(now) {
			continue
		}
		if w.unobservedTasks == nil {
			b.all = true
			return b
		}
		b.until = latestOf(b.until, w.unobservedUntil)
		for task := range w.unobservedTasks {
			b.tasks[task] = struct{}{}
		}
	}
	return b
}

// contains reports whether tasks lists the task. It does not consider all.
func (b unobservedTasks) contains(id job.TaskID) bool {
	_, found := b.tasks[id]
	return found
}

// containsIdle reports whether tasks lists an idle task of the step.
func (b unobservedTasks) containsIdle(g group, step *stepState) bool {
	if len(b.tasks) < step.idle {
		for id := range b.tasks {
			if g.contains(id) && id.Index < step.count && step.isIdle(id.Index) {
				return true
			}
		}
		return false
	}
	for index := range step.idleTasks() {
		if b.contains(g.task(index)) {
			return true
		}
	}
	return false
}

// logUnobserved logs once when the tasks that may run unobserved are limited to known ones, so that
// this owner can start all others, and once when no task of an earlier owner can run unobserved.
func (s *Shard) logUnobserved(now time.Time) {
	if s.allRunsSeen {
		return
	}
	b := s.unobserved(now)
	if b.all {
		return
	}
	s.allRunsSeen = len(b.tasks) == 0
	if s.allRunsSeen || !s.mostRunsSeen {
		s.opts.LogEvent("runs of earlier owners seen", "after_ms", now.Sub(s.takenAt).Milliseconds(), "unseen", len(b.tasks),
			"claim_version", s.claimVersion, "wait_ms", max(0, b.until.Sub(now)).Milliseconds())
	}
	s.mostRunsSeen = true
}

// isInHandover reports whether a row of this owner may still list the worker as one on which
// nothing is started or renewed.
func (s *Shard) isInHandover(w *workerState) bool {
	return (s.claimHasHandover && s.confirmedAt.IsZero()) || w.regainedAt.After(s.confirmedAt)
}
