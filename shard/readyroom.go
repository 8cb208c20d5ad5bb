package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
)

const (
	// maxReadyTasks bounds the tasks that a repeating job holds ready to start where workers have
	// room for more, such as for tasks that need no resources. The next round opens more.
	maxReadyTasks = 4096

	// maxOpenRowBytes bounds what the occurrences that are open may take in the row of progress. It
	// is half of the smallest row that the platform has.
	maxOpenRowBytes = 32 << 10

	// openRowOverhead is the maximum size in bytes of an open occurrence in the row of progress
	// without a bit for each task: its key, and the lengths of key and bits.
	openRowOverhead = 16
)

// readyRoom is for how many more tasks the workers have room, by what a task needs. It serves one
// round.
type readyRoom struct {
	shard *Shard
	tasks map[job.Room]int

	// unobserved is the number of tasks that earlier owners may have running and that this owner has
	// not observed.
	unobserved int
}

func (s *Shard) newReadyRoom(now time.Time) *readyRoom {
	r := &readyRoom{
		shard: s,
		tasks: make(map[job.Room]int),
	}
	if s.unobservedWorkers > 0 {
		r.unobserved = len(s.unobserved(now).tasks)
	}
	return r
}

// of returns for how many tasks of a step the workers have room, at most maxReadyTasks.
func (r *readyRoom) of(spec *job.Step) int {
	charge := spec.Charge()
	count, known := r.tasks[charge]
	if known {
		return count
	}
	for _, w := range r.shard.usable {
		count += countFitting(w.free(), charge, maxReadyTasks-count)
	}
	r.tasks[charge] = count
	return count
}

// startable returns how many untouched tasks of a step the limit of tasks for each worker lets start.
func (r *readyRoom) startable(step *stepState, spec *job.Step) int {
	count := step.untouchedIdle()
	if spec.PerWorker > 0 {
		running := step.remaining - step.idle
		count = min(count, max(0, spec.PerWorker*max(1, len(r.shard.usable))-running))
	}
	return count
}

// countFitting returns how many tasks that need charge each fit into the room of a worker, at most the
// given number.
func countFitting(room, charge job.Room, most int) int {
	if !room.Fits(charge) {
		return 0
	}
	for _, one := range [][2]int{
		{room.MilliCPU, charge.MilliCPU},
		{room.MemoryMB, charge.MemoryMB},
		{room.Accelerators, charge.Accelerators},
	} {
		if one[1] > 0 {
			most = min(most, one[0]/one[1])
		}
	}
	return most
}

// openDueOccurrences opens the occurrences of repeating jobs that are due, in order and as far as
// workers have room for their tasks. At least one is open whose first tasks have not started.
func (s *Shard) openDueOccurrences(now time.Time) {
	room := s.newReadyRoom(now)
	for id, j := range s.repeating {
		s.openDue(j, room, now)
		if j.nextOccurrence == j.record.Spec.Occurrences() {
			delete(s.repeating, id)
		}
	}
}

// openDue opens the occurrences of one job; see openDueOccurrences.
func (s *Shard) openDue(j *jobState, room *readyRoom, now time.Time) {
	spec := &j.record.Spec
	if now.Before(spec.Due(j.nextOccurrence)) {
		return
	}
	ready := j.readyTasks(room)
	for j.nextOccurrence < spec.Occurrences() && !now.Before(spec.Due(j.nextOccurrence)) {
		number := j.nextOccurrence
		if j.isEnded(number) || j.occurrences[number] != nil {
			j.nextOccurrence++
			continue
		}
		if !j.needsOccurrence(ready, room) {
			return
		}
		o := j.openOccurrence(number)
		j.nextOccurrence++
		for step, state := range o.steps {
			ready[step] += room.startable(state, &spec.Steps[step])
		}
		s.waiting[j.record.ID] = j
	}
}

// readyTasks returns, by step, how many untouched tasks of open occurrences may start. It covers the
// steps that wait for no other: only of these a further occurrence has more.
func (j *jobState) readyTasks(room *readyRoom) map[int]int {
	ready := make(map[int]int, 1)
	for _, o := range j.occurrences {
		for step, state := range o.steps {
			if spec := &j.record.Spec.Steps[step]; len(spec.After) == 0 {
				ready[step] += room.startable(state, spec)
			}
		}
	}
	return ready
}

// needsOccurrence reports whether tasks of one more occurrence could start beside the given ready ones,
// by step. The occurrences that are open must fit into the row of progress, whatever part of them is
// done.
func (j *jobState) needsOccurrence(ready map[int]int, room *readyRoom) bool {
	if tasks := j.record.Spec.Tasks(); tasks > 1 && len(j.occurrences) > 0 {
		if len(j.occurrences)*(openRowOverhead+tasks/bitsPerByte) > maxOpenRowBytes {
			return false
		}
	}
	if room.shard.isRowFull(j) {
		return false
	}
	for step := range j.record.Spec.Steps {
		spec := &j.record.Spec.Steps[step]
		if len(spec.After) > 0 {
			continue
		}
		if ready[step] == 0 || ready[step] < room.of(spec)+room.unobserved {
			return true
		}
	}
	return false
}
