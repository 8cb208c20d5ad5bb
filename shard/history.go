package shard

import (
	"fmt"
	"maps"
	"slices"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/suspect"
)

const (
	// maxListedHistory is the most bytes that the history of tasks may take in a row task by task. Beyond
	// it the history is packed, see History.
	maxListedHistory = 8 << 10

	// listedTaskBytes is the maximum size in bytes of the key of a task in a row, with the lengths of key
	// and list, and listedRunBytes that of the number of a run.
	listedTaskBytes = 24
	listedRunBytes  = 9

	// packedKey is a key in Progress.Done without a value. It makes a version that does not know History
	// leave the row alone.
	packedKey = "packed"
)

// History holds what has happened to the tasks of a job that have not succeeded: what a row without it
// lists task by task. It is kept by run number and by worker, with the tasks as sets of numbers: a task has
// the number of its occurrence times the tasks of an occurrence, plus those of the steps before its own,
// plus its index. So thousands of tasks that fail or lose their worker together take a few bytes more than
// one of them.
type History struct {
	// Failed maps the number of a run to the tasks of which this run failed.
	Failed map[int64][]byte `cbor:"1,keyasint,omitempty"`

	// Marks holds the crashes of workers.
	Marks []CrashMarks `cbor:"2,keyasint,omitempty"`
}

// CrashMarks are the tasks that one crash has left marks of the same kinds on.
type CrashMarks struct {
	_ struct{} `cbor:",toarray"`

	Worker string

	// Kinds has a bit for each list of taskState.crashLists that names the worker.
	Kinds int
	Tasks []byte
}

// crashMark is a worker with the kinds of its mark on a task.
type crashMark struct {
	worker string
	kinds  int
}

// crashLists returns the lists of the workers that crashed under a task; the mark of list i has the kind
// 1<<i.
func (t *taskState) crashLists() [4]*suspect.Crashes {
	return [4]*suspect.Crashes{&t.crashes, &t.besideCrashes, &t.possibleCrashes, &t.sharedCrashes}
}

// marks returns the marks on a task by worker.
func (t *taskState) marks() map[string]int {
	marks := make(map[string]int)
	for i, workers := range t.crashLists() {
		for _, worker := range *workers {
			marks[worker] |= 1 << i
		}
	}
	return marks
}

// addMark adds the mark of a crash to a task.
func (t *taskState) addMark(mark CrashMarks) {
	for i, workers := range t.crashLists() {
		if mark.Kinds&(1<<i) != 0 {
			*workers = append(*workers, mark.Worker)
		}
	}
}

// listedBytes returns how many bytes the history of a task takes in a row at most, listed by itself.
func (t *taskState) listedBytes(lasting bool) int {
	size := 0
	for _, workers := range t.crashLists() {
		if len(*workers) > 0 {
			size += listedTaskBytes
		}
		for _, worker := range *workers {
			size += listedRunBytes + len(worker)
		}
	}
	if len(t.failedRuns) > 0 && !lasting {
		size += listedTaskBytes + listedRunBytes*len(t.failedRuns)
	}
	return size
}

// taskHistory is a task that has not succeeded and has a history.
type taskHistory struct {
	id      job.TaskID
	state   *taskState
	lasting bool
}

// addHistory adds the history of the tasks of a job to its row, listed or packed.
func (j *jobState) addHistory(p *Progress) {
	var tasks []taskHistory
	size := 0
	j.forEachState(func(id job.TaskID, t *taskState) {
		lasting := j.record.Spec.Steps[id.Step].Lasting
		listed := t.listedBytes(lasting)
		if t.done || listed == 0 {
			return
		}
		size += listed
		tasks = append(tasks, taskHistory{
			id:      id,
			state:   t,
			lasting: lasting,
		})
	})
	if size <= maxListedHistory {
		for _, one := range tasks {
			p.addTask(taskKey(one.id), one.state, one.lasting)
		}
		return
	}
	p.History = j.pack(tasks)
	if p.Done == nil {
		p.Done = make(map[string][]byte)
	}
	p.Done[packedKey] = []byte{}
}

// pack returns the packed history of tasks, which are in order.
func (j *jobState) pack(tasks []taskHistory) *History {
	failed := make(map[int64][]int)
	marks := make(map[crashMark][]int)
	for _, one := range tasks {
		number := j.taskNumber(one.id)
		for worker, kinds := range one.state.marks() {
			mark := crashMark{
				worker: worker,
				kinds:  kinds,
			}
			marks[mark] = append(marks[mark], number)
		}
		if one.lasting {
			continue
		}
		for _, run := range one.state.failedRuns {
			failed[run] = append(failed[run], number)
		}
	}
	h := &History{}
	if len(failed) > 0 {
		h.Failed = make(map[int64][]byte, len(failed))
	}
	for run, numbers := range failed {
		h.Failed[run] = encodeNumbers(numbers)
	}
	for mark, numbers := range marks {
		h.Marks = append(h.Marks, CrashMarks{
			Worker: mark.worker,
			Kinds:  mark.kinds,
			Tasks:  encodeNumbers(numbers),
		})
	}
	return h
}

// restoreHistory applies a packed history to a newly built job.
func (j *jobState) restoreHistory(h *History) error {
	if h == nil {
		return nil
	}
	for _, run := range slices.Sorted(maps.Keys(h.Failed)) {
		err := j.forEachNumber(h.Failed[run], func(id job.TaskID, t *taskState) {
			t.failedRuns = append(t.failedRuns, run)
			j.noteLastAttempt(id, t)
		})
		if err != nil {
			return err
		}
	}
	for _, mark := range h.Marks {
		err := j.forEachNumber(mark.Tasks, func(_ job.TaskID, t *taskState) { t.addMark(mark) })
		if err != nil {
			return err
		}
	}
	return nil
}

// forEachNumber calls do for each task of an encoded set that is not done.
func (j *jobState) forEachNumber(encoded []byte, do func(id job.TaskID, t *taskState)) error {
	numbers, err := decodeNumbers(encoded)
	if err != nil {
		return err
	}
	for _, number := range numbers {
		id, found := j.taskByNumber(number)
		if !found {
			return fmt.Errorf("progress refers to task number %d, which job %s does not have", number, j.record.ID)
		}
		if !j.isTaskDone(id) {
			do(id, j.ownTask(id))
		}
	}
	return nil
}

// taskNumber returns the number of a task in a History.
func (j *jobState) taskNumber(id job.TaskID) int {
	number := id.Occurrence*j.record.Spec.Tasks() + id.Index
	for step := range id.Step {
		number += j.record.Spec.Steps[step].Count
	}
	return number
}

// taskByNumber returns the task with a number, and false if the job has none.
func (j *jobState) taskByNumber(number int) (job.TaskID, bool) {
	spec := &j.record.Spec
	id := job.TaskID{
		Job:        j.record.ID,
		Occurrence: number / spec.Tasks(),
		Index:      number % spec.Tasks(),
	}
	for id.Index >= spec.Steps[id.Step].Count {
		id.Index -= spec.Steps[id.Step].Count
		id.Step++
	}
	return id, id.Occurrence < spec.Occurrences()
}
