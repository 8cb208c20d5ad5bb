package shard

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lemonstream.dev/lemonstream/job"
)

const (
	// endedKey is the key in Progress.Done of the occurrences of a repeating job that have ended.
	endedKey = "ended"

	// tasksKeySuffix follows the number of an open occurrence of a repeating job in the key of its
	// tasks that have succeeded. Both keys make a version that does not know them leave the row alone.
	tasksKeySuffix = ".tasks"
)

// doneMarks returns Progress.Done for the current state of a job in memory; nil if nothing is done.
func (j *jobState) doneMarks() map[string][]byte {
	marks := make(map[string][]byte)
	if j.record.Spec.Repeats == 0 {
		j.addStepMarks(marks)
	} else {
		j.addOccurrenceMarks(marks)
	}
	if len(marks) == 0 {
		return nil
	}
	return marks
}

// addStepMarks adds the tasks that have succeeded by step.
func (j *jobState) addStepMarks(marks map[string][]byte) {
	for k := range j.occurrences {
		for s := range j.record.Spec.Steps {
			var done bitset
			j.addDone(&done, 0, k, s)
			if len(done) > 0 {
				marks[stepKey(k, s)] = done
			}
		}
	}
}

// addOccurrenceMarks adds the occurrences that have ended, and the tasks that have succeeded of those
// that have not.
func (j *jobState) addOccurrenceMarks(marks map[string][]byte) {
	if len(j.ended) > 0 {
		marks[endedKey] = append([]byte(nil), j.ended...)
	}
	for k := range j.occurrences {
		if j.isEnded(k) {
			continue
		}
		var done bitset
		first := 0
		for s := range j.record.Spec.Steps {
			j.addDone(&done, first, k, s)
			first += j.record.Spec.Steps[s].Count
		}
		if len(done) > 0 {
			marks[strconv.Itoa(k)+tasksKeySuffix] = done
		}
	}
}

// addDone adds the tasks of a step that have succeeded to a set in which the step begins at first.
func (j *jobState) addDone(done *bitset, first, occurrence, step int) {
	o := j.occurrences[occurrence]
	if o.ended.has(step) {
		done.addRange(first, first+j.record.Spec.Steps[step].Count)
		return
	}
	state := o.steps[step]
	if state == nil || state.remaining == state.count {
		return
	}
	for index := range state.count {
		if state.done.has(index) {
			done.add(first + index)
		}
	}
}

// restoreDone applies Progress.Done to a newly built job. It opens only the occurrences of which a part
// is done.
func (j *jobState) restoreDone(marks map[string][]byte) error {
	for key, bits := range marks {
		if key == endedKey {
			j.restoreEnded(bits)
		}
	}
	for key, bits := range marks {
		if key == endedKey || key == packedKey {
			continue
		}
		k, s, err := parseMarkKey(key)
		if err != nil {
			return err
		}
		if k < 0 || k >= j.record.Spec.Occurrences() || s >= len(j.record.Spec.Steps) {
			return fmt.Errorf("progress refers to %s, which job %s does not have", key, j.record.ID)
		}
		if j.isEnded(k) {
			continue
		}
		if s >= 0 {
			j.restoreStep(k, s, bits, 0)
			continue
		}
		first := 0
		for step := range j.record.Spec.Steps {
			j.restoreStep(k, step, bits, first)
			first += j.record.Spec.Steps[step].Count
		}
	}
	return nil
}

// parseMarkKey returns the occurrence and the step of a key of Progress.Done. The step is -1 if the
// key is that of all tasks of the occurrence.
func parseMarkKey(key string) (int, int, error) {
	if number, found := strings.CutSuffix(key, tasksKeySuffix); found {
		k, err := strconv.Atoi(number)
		if err != nil {
			return 0, 0, fmt.Errorf("progress contains the invalid key %q", key)
		}
		return k, -1, nil
	}
	k, s, _, err := parseKey(key)
	if err == nil && s < 0 {
		err = fmt.Errorf("progress contains the invalid key %q", key)
	}
	return k, s, err
}

// restoreEnded marks the occurrences that have ended.
func (j *jobState) restoreEnded(bits []byte) {
	for number := range j.record.Spec.Occurrences() {
		if bitset(bits).has(number) && !j.isEnded(number) {
			j.ended.add(number)
			j.remaining--
		}
	}
}

// restoreStep marks the tasks of a step that have succeeded, by a set in which the step begins at first.
func (j *jobState) restoreStep(occurrence, step int, bits []byte, first int) {
	if j.isEnded(occurrence) || j.openOccurrence(occurrence).ended.has(step) {
		return
	}
	var state *stepState
	for index := range j.record.Spec.Steps[step].Count {
		if !bitset(bits).has(first + index) {
			continue
		}
		if state == nil {
			state = j.openStep(occurrence, step)
			j.occurrences[occurrence].started = true
		}
		state.finish(index)
	}
	if state == nil || state.remaining > 0 {
		return
	}
	j.endStep(occurrence, step)
	j.release(job.TaskID{
		Job:        j.record.ID,
		Occurrence: occurrence,
		Step:       step,
	})
}

// sortReturned orders the idle tasks with a state of their own, so that the first of them starts first.
// Rows list them in no order.
func (j *jobState) sortReturned() {
	for _, o := range j.occurrences {
		for _, step := range o.steps {
			slices.SortFunc(step.returned, func(a, b int) int { return b - a })
		}
	}
}

// isTaskDone reports whether a task has succeeded.
func (j *jobState) isTaskDone(id job.TaskID) bool {
	t := j.task(id)
	return t != nil && t.done
}
