package shard

import (
	"iter"
	"maps"
	"slices"
	"time"
)

// stepState is one step of one occurrence whose tasks may start, or of which a task runs. Most tasks
// need no state of their own: they are done, or alike as long as nothing has happened to them. So
// what a step takes in memory follows from its tasks that run or have a history; the others take a
// bit each.
type stepState struct {
	// job is the job that the step belongs to, count the number of its tasks.
	job   *jobState
	count int

	// done holds the tasks that have succeeded, remaining counts the others.
	done      bitset
	remaining int

	// states holds the tasks with a state of their own: those with runs, and those that are not done
	// and have failed runs, crashes or a past run.
	states map[int]*taskState

	// untouched is the state of all tasks that are not done and have none of their own; nil while
	// it is that of a task of a new occurrence.
	untouched *taskState

	// idle counts the tasks that are neither done nor on a worker. Those with a state of their own
	// are listed in returned, in the order in which they became idle; all others are untouched.
	idle     int
	returned []int

	// firstUntouched is a number below which no task is untouched.
	firstUntouched int
}

// newStep returns a step of count tasks. All of them are idle, unless the step has ended and is needed for
// runs that still exist.
func newStep(j *jobState, count int, ended bool) *stepState {
	st := &stepState{
		job:    j,
		count:  count,
		states: make(map[int]*taskState),
	}
	if !ended {
		st.remaining, st.idle = count, count
	}
	return st
}

// isDone reports whether a task has succeeded.
func (st *stepState) isDone(index int) bool {
	return st.remaining == 0 || st.done.has(index)
}

// isUntouched reports whether a task is idle and has no state of its own.
func (st *stepState) isUntouched(index int) bool {
	return st.states[index] == nil && !st.isDone(index)
}

// untouchedIdle returns how many idle tasks have no state of their own.
func (st *stepState) untouchedIdle() int {
	return st.idle - len(st.returned)
}

// task returns the state of a task to be read: it may be that of all tasks alike.
func (st *stepState) task(index int) *taskState {
	switch {
	case st.states[index] != nil:
		return st.states[index]
	case st.isDone(index):
		return &taskState{
			done: true,
		}
	case st.untouched != nil:
		return st.untouched
	default:
		return st.job.untouched
	}
}

// own returns the state of a task to be changed. A task gets a state of its own if it has none; that
// of a done task without runs has to be released.
func (st *stepState) own(index int) *taskState {
	if t := st.states[index]; t != nil {
		return t
	}
	t := *st.task(index)
	st.states[index] = &t
	if !t.done {
		st.returned = append(st.returned, index)
	}
	return &t
}

// forUntouched returns the state of all tasks that have none of their own, to be changed.
func (st *stepState) forUntouched() *taskState {
	if st.untouched == nil {
		t := *st.job.untouched
		st.untouched = &t
	}
	return st.untouched
}

// idleStates calls do with the states of all idle tasks, one for all that are untouched.
func (st *stepState) idleStates(do func(t *taskState)) {
	for _, index := range st.returned {
		do(st.states[index])
	}
	if st.untouchedIdle() > 0 {
		do(st.forUntouched())
	}
}

// idleTasks returns the idle tasks in the order in which they are to start: first those that became
// idle last, then the untouched ones in order. The task that was returned last may start meanwhile.
func (st *stepState) idleTasks() iter.Seq[int] {
	return func(yield func(int) bool) {
		for i := len(st.returned) - 1; i >= 0; i-- {
			if !yield(st.returned[i]) {
				return
			}
		}
		for index := range st.untouchedTasks() {
			if !yield(index) {
				return
			}
		}
	}
}

// untouchedTasks returns the untouched tasks in order. The task that was returned last may start
// meanwhile.
func (st *stepState) untouchedTasks() iter.Seq[int] {
	return func(yield func(int) bool) {
		for st.firstUntouched < st.count && !st.isUntouched(st.firstUntouched) {
			st.firstUntouched++
		}
		for index := st.firstUntouched; index < st.count && st.untouchedIdle() > 0; index++ {
			if st.isUntouched(index) && !yield(index) {
				return
			}
		}
	}
}

// isIdle reports whether a task is neither done nor on a worker.
func (st *stepState) isIdle(index int) bool {
	return !st.isDone(index) && len(st.task(index).runs) == 0
}

// addRun adds a run to a task, which has a state of its own.
func (st *stepState) addRun(index int, r *run) {
	t := st.own(index)
	if len(t.runs) == 0 && !t.done {
		st.leaveIdle(index)
	}
	t.runs = append(t.runs, r)
}

// becomeIdle makes a task idle that has lost its last run.
func (st *stepState) becomeIdle(index int, now time.Time) {
	st.idle++
	st.returned = append(st.returned, index)
	st.states[index].idleSince = now
}

// leaveIdle removes an idle task with a state of its own from the idle ones.
func (st *stepState) leaveIdle(index int) {
	st.idle--
	for i := len(st.returned) - 1; i >= 0; i-- {
		if st.returned[i] == index {
			st.returned = slices.Delete(st.returned, i, i+1)
			return
		}
	}
}

// finish marks a task as done and reports whether it was not done before.
func (st *stepState) finish(index int) bool {
	if st.isDone(index) {
		return false
	}
	if t := st.states[index]; t == nil {
		st.idle--
	} else {
		t.done = true
		if len(t.runs) == 0 {
			st.leaveIdle(index)
			delete(st.states, index)
		}
	}
	st.done.add(index)
	st.remaining--
	return true
}

// releaseTask drops the state of a done task without runs.
func (st *stepState) releaseTask(index int) {
	if t := st.states[index]; t != nil && t.done && len(t.runs) == 0 {
		delete(st.states, index)
	}
}

// sortedStates returns the numbers of the tasks with a state of their own, in order.
func (st *stepState) sortedStates() []int {
	return slices.Sorted(maps.Keys(st.states))
}
