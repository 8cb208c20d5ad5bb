package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
)

// group holds the idle tasks of one step of an occurrence.
type group struct {
	job        *jobState
	occurrence int
	step       int
	valueClass valueClass

	// started says that a task of the job, or of the occurrence of a repeating job, has started.
	// deadline is that of the job or the occurrence.
	started  bool
	deadline time.Time

	// sizeRank is the rank of a job that earns nothing any more by its size; see rankBySize.
	sizeRank int

	// newestFirst says that among jobs that have not started the newest is placed first.
	newestFirst bool
}

// valueClass says what a job can still earn; a lower class is placed first.
type valueClass int

const (
	// valueFull means that the job can end in time.
	valueFull valueClass = iota

	// valuePartial means that the job will be late and earns only a small part of its value.
	valuePartial

	// valueNone means that the job earns nothing any more; it still has to end.
	valueNone
)

// newGroup returns the group of a step of an open occurrence.
func newGroup(j *jobState, occurrence, step int) group {
	g := group{
		job:        j,
		occurrence: occurrence,
		step:       step,
		started:    j.started,
		deadline:   j.deadline,
	}
	if j.record.Spec.Repeats > 0 {
		g.started = j.occurrences[occurrence].started
		g.deadline = j.record.Spec.Due(occurrence).Add(j.objective())
	}
	return g
}

// state returns the state of the group's step.
func (g group) state() *stepState {
	return g.job.occurrences[g.occurrence].steps[g.step]
}

// contains reports whether a task belongs to the group's step.
func (g group) contains(id job.TaskID) bool {
	return id.Job == g.job.record.ID && id.Occurrence == g.occurrence && id.Step == g.step
}

func (g group) task(index int) job.TaskID {
	return job.TaskID{
		Job:        g.job.record.ID,
		Occurrence: g.occurrence,
		Step:       g.step,
		Index:      index,
	}
}
