package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
)

const (
	// classOther holds tasks that may use every worker that is not ejected, and an ejected one as a
	// probe.
	classOther taskClass = iota

	// classLast holds last attempts: they are no probes.
	classLast

	// classHeld holds last attempts that wait for a proven worker.
	classHeld

	// classOverdue holds tasks that may use an empty ejected worker.
	classOverdue
	classCount
)

// taskClass says which workers a task may use while some are ejected.
type taskClass int

// unplaced holds, by class, the charges for which one placement has found no worker. Each search looks
// at all workers: with 200 held jobs at 150 workers, a search for each took 6 ms.
type unplaced [classCount][]job.Room

func (s *Shard) classOf(t *taskState, now time.Time) taskClass {
	switch {
	case t.isOverdue(now) && s.outliers.Ejected() > 0:
		return classOverdue
	case s.holdsLastAttempt(t, now):
		return classHeld
	case t.lastAttempt:
		return classLast
	default:
		return classOther
	}
}

// fails reports whether no worker takes a task of a class. A held task may use fewer workers than
// another last attempt, and that one fewer than any other task.
func (u *unplaced) fails(class taskClass, charge job.Room) bool {
	switch class {
	case classOverdue:
		return fitsNowhere(u[classOverdue], charge)
	case classHeld:
		return fitsNowhere(u[classHeld], charge) || u.fails(classLast, charge)
	case classLast:
		return fitsNowhere(u[classLast], charge) || u.fails(classOther, charge)
	default:
		return fitsNowhere(u[classOther], charge)
	}
}

func (u *unplaced) add(class taskClass, charge job.Room) {
	u[class] = append(u[class], charge)
}

// failsStep reports whether no worker takes a task of a step.
func (s *Shard) failsStep(u *unplaced, step *stepState, spec *job.Step, now time.Time) bool {
	if !u.fails(classOther, spec.Charge()) {
		return false
	}
	if s.outliers.Ejected() == 0 {
		return true
	}
	if acceptsSome(spec) {
		return false
	}
	overdue := false
	step.idleStates(func(t *taskState) { overdue = overdue || t.isOverdue(now) })
	return !overdue
}

// skips reports whether the search for a worker for a task can be left out. The wait of a held task
// begins all the same.
func (s *Shard) skips(u *unplaced, id job.TaskID, spec *job.Step, t *taskState, now time.Time) bool {
	class := s.classOf(t, now)
	if !u.fails(class, spec.Charge()) {
		return false
	}
	if class == classHeld && t.heldSince.IsZero() && !u.fails(classLast, spec.Charge()) {
		if !s.isHeldBack(id, spec, t, now) {
			u.add(classLast, spec.Charge())
		}
	}
	return true
}

// noteUnplaced records that no worker has taken a task. It reports whether other tasks of the step may
// still find one.
func (s *Shard) noteUnplaced(u *unplaced, g group, step *stepState, index int, now time.Time) bool {
	id, t, spec := g.task(index), step.task(index), &g.job.record.Spec.Steps[g.step]
	class := s.classOf(t, now)
	s.recordWait(g, step, spec, now)
	if s.isHeldBack(id, spec, t, now) {
		u.add(class, spec.Charge())
		return true
	}
	s.logWait(g.job, newCandidate(id, spec, t), now)
	if s.outliers.Ejected() == 0 {
		u.add(classOther, spec.Charge())
		return false
	}
	if class == classOverdue {
		u.add(classOverdue, spec.Charge())
	}
	if t.lastAttempt {
		u.add(classLast, spec.Charge())
	} else {
		u.add(classOther, spec.Charge())
	}
	return true
}
