package shard

import (
	"maps"
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
)

// occurrence is one execution of all steps of a job. It is open while it has not ended, or while runs
// of its tasks exist.
type occurrence struct {
	// steps holds the steps that may start, and those with runs or a history. A step that waits for
	// others, or has ended and has no runs, needs no state.
	steps map[int]*stepState

	// ended holds the steps all of whose tasks have succeeded, remaining counts the others.
	ended     bitset
	remaining int

	// started says that a task has started.
	started bool
}

// isEnded reports whether all tasks of an occurrence have succeeded.
func (j *jobState) isEnded(number int) bool {
	return j.ended.has(number)
}

// openOccurrence returns an open occurrence, and opens it if needed.
func (j *jobState) openOccurrence(number int) *occurrence {
	if o := j.occurrences[number]; o != nil {
		return o
	}
	o := &occurrence{
		steps: make(map[int]*stepState, 1),
	}
	if j.occurrences == nil {
		j.occurrences = make(map[int]*occurrence)
	}
	j.occurrences[number] = o
	if j.isEnded(number) {
		return o
	}
	o.remaining = len(j.record.Spec.Steps)
	j.openReadySteps(number)
	return o
}

// openReadySteps gives a state to the steps of an occurrence that may start.
func (j *jobState) openReadySteps(number int) {
	o := j.occurrences[number]
	for step := range j.record.Spec.Steps {
		if o.steps[step] == nil && !o.ended.has(step) && j.isReady(number, step) {
			o.steps[step] = newStep(j, j.record.Spec.Steps[step].Count, false)
		}
	}
}

// isReady reports whether the steps that a step depends on have succeeded, so that it may start.
func (j *jobState) isReady(number, step int) bool {
	o := j.occurrences[number]
	for _, earlier := range j.record.Spec.Steps[step].After {
		if !o.ended.has(earlier) {
			return false
		}
	}
	return true
}

// openStep returns a step of an occurrence, or nil if the job has no such step. It opens the
// occurrence and the step if needed.
func (j *jobState) openStep(number, step int) *stepState {
	if number < 0 || number >= j.record.Spec.Occurrences() || step < 0 || step >= len(j.record.Spec.Steps) {
		return nil
	}
	o := j.openOccurrence(number)
	if o.steps[step] == nil {
		o.steps[step] = newStep(j, j.record.Spec.Steps[step].Count, j.isEnded(number) || o.ended.has(step))
	}
	return o.steps[step]
}

// step returns the state of a task's step; nil if it has none.
func (j *jobState) step(id job.TaskID) *stepState {
	if o := j.occurrences[id.Occurrence]; o != nil {
		return o.steps[id.Step]
	}
	return nil
}

// endStep records that all tasks of a step have succeeded. It reports whether the occurrence has
// ended with it, and opens the steps that may start now.
func (j *jobState) endStep(number, step int) bool {
	o := j.occurrences[number]
	o.ended.add(step)
	o.remaining--
	if o.remaining > 0 {
		j.openReadySteps(number)
		return false
	}
	j.ended.add(number)
	j.remaining--
	return true
}

// release drops what a task needs no longer: its state if it is done and has no runs, its step and
// its occurrence if they have ended and no runs of them exist, and all occurrences of an ended job
// without runs.
func (j *jobState) release(id job.TaskID) {
	step := j.step(id)
	if step == nil {
		return
	}
	step.releaseTask(id.Index)
	o := j.occurrences[id.Occurrence]
	if step.remaining == 0 && len(step.states) == 0 {
		delete(o.steps, id.Step)
	}
	if o.remaining == 0 && len(o.steps) == 0 {
		delete(j.occurrences, id.Occurrence)
	}
	j.releaseEnded()
}

// releaseEnded drops all occurrences of an ended job without runs.
func (j *jobState) releaseEnded() {
	if j.state.Final() && j.activeRuns == 0 {
		j.occurrences = nil
	}
}

// sortedOccurrences returns the numbers of the open occurrences in order.
func (j *jobState) sortedOccurrences() []int {
	return slices.Sorted(maps.Keys(j.occurrences))
}

// openStepCount is a step of an open occurrence that has not ended. state is nil while the step waits
// for others.
type openStepCount struct {
	occurrence int
	step       int
	remaining  int
	idle       int
	state      *stepState
}

// openSteps calls do for each step of an open occurrence that has not ended.
func (j *jobState) openSteps(do func(openStepCount)) {
	for k, o := range j.occurrences {
		if o.remaining == 0 {
			continue
		}
		for i := range j.record.Spec.Steps {
			one := openStepCount{
				occurrence: k,
				step:       i,
				remaining:  j.record.Spec.Steps[i].Count,
				idle:       j.record.Spec.Steps[i].Count,
				state:      o.steps[i],
			}
			if one.state != nil {
				one.remaining, one.idle = one.state.remaining, one.state.idle
			}
			if !o.ended.has(i) {
				do(one)
			}
		}
	}
}

// dueUnopened returns how many occurrences are due and not open, because no task of them could start.
func (j *jobState) dueUnopened(now time.Time) int {
	spec := &j.record.Spec
	if spec.Repeats == 0 || j.state.Final() || now.Before(spec.Due(j.nextOccurrence)) {
		return 0
	}
	due := spec.Occurrences()
	if spec.Interval > 0 {
		due = min(due, int(now.Sub(spec.FirstRun)/spec.Interval)+1)
	}
	count := max(0, due-j.nextOccurrence) - j.ended.countFrom(j.nextOccurrence)
	for number, o := range j.occurrences {
		if number >= j.nextOccurrence && o.remaining > 0 {
			count--
		}
	}
	return max(0, count)
}

// dueTasks returns the number of tasks of the occurrences that are due and have not ended, including those
// of their tasks that have. It does not look at each step, since it is asked for in each round.
func (j *jobState) dueTasks(now time.Time) int {
	return (len(j.occurrences) + j.dueUnopened(now)) * j.record.Spec.Tasks()
}
