package shard

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/suspect"
)

// Record is the row of an accepted job, written by the entry that accepted it. It never changes,
// and is removed when the job has ended.
type Record struct {
	ID     string         `cbor:"1,keyasint"`
	Route  string         `cbor:"2,keyasint"`
	Policy catalog.Policy `cbor:"3,keyasint"`
	Spec   job.Spec       `cbor:"4,keyasint"`

	// AcceptedMillis is when an entry first read the job, in Unix milliseconds.
	AcceptedMillis int64 `cbor:"5,keyasint"`

	// Organisation is the organisation whose quota the job's tasks count against; empty for none.
	Organisation string `cbor:"6,keyasint,omitempty"`

	// Address is how the caller addressed the job, and Fence what a write of the record requires. They
	// are not stored, and nil in records of entries of earlier versions. Address is sent to the owner,
	// whose entry sets Fence.
	Address *QueueAddress `cbor:"7,keyasint,omitempty"`
	Fence   *QueueFence   `cbor:"-"`
}

// Progress is the row that holds the state of a job and of its tasks, written by its owner.
type Progress struct {
	State job.State `cbor:"1,keyasint"`

	// Route is the queue of the job. It allows counting the job after its record is removed.
	Route string `cbor:"2,keyasint,omitempty"`

	// Done maps OCCURRENCE.STEP to a bitmap of the tasks that have succeeded.
	Done map[string][]byte `cbor:"3,keyasint,omitempty"`

	// Failed maps OCCURRENCE.STEP.INDEX to the numbers of the runs that failed, each once.
	Failed map[string][]int64 `cbor:"4,keyasint,omitempty"`

	// Crashed maps OCCURRENCE.STEP.INDEX to the workers that crashed while they ran the task.
	// Rows written by earlier versions have none.
	Crashed map[string][]string `cbor:"6,keyasint,omitempty"`

	// PossibleCrashes maps OCCURRENCE.STEP.INDEX to the workers that may have crashed while they
	// ran the task: how the run there ended was not known when the row was written.
	PossibleCrashes map[string][]string `cbor:"7,keyasint,omitempty"`

	// BesideCrashes maps OCCURRENCE.STEP.INDEX to those workers of Crashed on which another task
	// was started later. Rows written by earlier versions have none.
	BesideCrashes map[string][]string `cbor:"9,keyasint,omitempty"`

	// SharedCrashes maps OCCURRENCE.STEP.INDEX to those workers of Crashed and PossibleCrashes on
	// which other tasks ran, of which no row may tell. Rows written by earlier versions have none.
	SharedCrashes map[string][]string `cbor:"11,keyasint,omitempty"`

	// History takes the place of Failed and of the lists of crashes where they would be long. Rows written
	// by earlier versions have none.
	History *History `cbor:"12,keyasint,omitempty"`

	// EndedMillis is when a final state was reached, in Unix milliseconds.
	EndedMillis int64 `cbor:"5,keyasint,omitempty"`

	// Organisation is that of the job's record. It tells who may see the job after its record is
	// removed. Rows written by earlier versions have none.
	Organisation string `cbor:"10,keyasint,omitempty"`

	// Failure is why the job failed; nil for any other state. Rows written by earlier versions have
	// none.
	Failure *Failure `cbor:"8,keyasint,omitempty"`
}

// Failure is the evidence on which an owner failed a job.
type Failure struct {
	// Epoch is the epoch of the owner, Task the task that could not be done.
	Epoch int64  `cbor:"1,keyasint"`
	Task  string `cbor:"2,keyasint"`

	// FailedRuns are the numbers of the runs that failed.
	FailedRuns []int64 `cbor:"3,keyasint,omitempty"`

	// Crashed are the worker incarnations that crashed while they ran the task, PossiblyCrashed
	// those that may have.
	Crashed         []string `cbor:"4,keyasint,omitempty"`
	PossiblyCrashed []string `cbor:"5,keyasint,omitempty"`

	// Beside are those of Crashed on which another task was started later.
	Beside []string `cbor:"6,keyasint,omitempty"`

	// RowBytes is the size of the row of progress that could not be stored; 0 for any other reason.
	RowBytes int `cbor:"7,keyasint,omitempty"`
}

// DecodeProgress decodes a row written by Progress.Encode.
func DecodeProgress(value []byte) (Progress, error) {
	var p Progress
	if err := cbor.Unmarshal(value, &p); err != nil {
		return p, fmt.Errorf("row of progress: %w", err)
	}
	return p, nil
}

// DecodeRecord decodes a row written by Record.Encode. It also returns an error if the Spec in the
// row is not valid.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("row of a job: %w", err)
	}
	return r, r.Spec.Check()
}

// DecodeJobOwner returns the organisation and the route in a row written by Record.Encode. Unlike
// DecodeRecord it does not check the job.
func DecodeJobOwner(value []byte) (catalog.JobOwner, error) {
	var r struct {
		Route        string `cbor:"2,keyasint"`
		Organisation string `cbor:"6,keyasint,omitempty"`
	}
	if err := cbor.Unmarshal(value, &r); err != nil {
		return catalog.JobOwner{}, fmt.Errorf("organisation of a job: %w", err)
	}
	return catalog.JobOwner{
		Organisation: r.Organisation,
		Route:        r.Route,
	}, nil
}

// Owner returns the organisation and the route of the job.
func (r Record) Owner() catalog.JobOwner {
	return catalog.JobOwner{
		Organisation: r.Organisation,
		Route:        r.Route,
	}
}

// Owner returns the organisation and the route of the job.
func (p Progress) Owner() catalog.JobOwner {
	return catalog.JobOwner{
		Organisation: p.Organisation,
		Route:        p.Route,
	}
}

// LogFields returns the evidence as fields of a log line; none for nil.
func (f *Failure) LogFields() []any {
	if f == nil {
		return nil
	}
	fields := []any{
		"failed_under", f.Epoch, "task", f.Task, "failed_runs", f.FailedRuns, "crashed", f.Crashed,
		"beside", f.Beside, "possibly_crashed", f.PossiblyCrashed,
	}
	if f.RowBytes > 0 {
		fields = append(fields, "row_bytes", f.RowBytes)
	}
	return fields
}

// Encode returns the row in CBOR.
func (p Progress) Encode() []byte {
	return encode(p)
}

// Encode returns the row in CBOR.
func (r Record) Encode() []byte {
	r.Address = nil
	return encode(r)
}

// EncodeSubmission returns the record in CBOR as it is submitted to an owner, with its address.
func (r Record) EncodeSubmission() []byte {
	return encode(r)
}

// encode returns a row in CBOR. Times are written as text in full precision: the default of the
// library cuts them to seconds, and a repeated job would start early.
func encode(value any) []byte {
	mode, err := cbor.EncOptions{
		Time: cbor.TimeRFC3339Nano,
	}.EncMode()
	if err != nil {
		panic(err)
	}
	body, err := mode.Marshal(value)
	if err != nil {
		// Rows hold only plain values, whose encoding never fails.
		panic(err)
	}
	return body
}

// progress returns the row of progress for the job's current state in memory.
func (j *jobState) progress() Progress {
	p := Progress{
		State:        j.state,
		Route:        j.record.Route,
		Organisation: j.record.Organisation,
	}
	if j.state.Final() {
		p.EndedMillis = j.endedAt.UnixMilli()
		p.Failure = j.failure
		return p
	}
	p.Done = j.doneMarks()
	j.addHistory(&p)
	return p
}

// addTask adds the crashes and failed runs of a task that has not succeeded. Failed runs of
// long-running tasks are not stored.
func (p *Progress) addTask(key string, t *taskState, lasting bool) {
	rows := p.crashRows()
	for i, workers := range t.crashLists() {
		*rows[i] = withMarks(*rows[i], key, *workers)
	}
	if len(t.failedRuns) == 0 || lasting {
		return
	}
	if p.Failed == nil {
		p.Failed = make(map[string][]int64)
	}
	p.Failed[key] = t.failedRuns
}

// withMarks adds the marks of a task under key to a map of a row, and returns the map. A nil map
// is created if there are marks.
func withMarks(list map[string][]string, key string, marks suspect.Crashes) map[string][]string {
	if len(marks) == 0 {
		return list
	}
	if list == nil {
		list = make(map[string][]string)
	}
	list[key] = marks
	return list
}

// restore applies a row of progress to a newly built job.
func (j *jobState) restore(p Progress) error {
	if err := j.restoreDone(p.Done); err != nil {
		return err
	}
	for key, runs := range p.Failed {
		id, err := j.taskByKey(key)
		if err != nil {
			return err
		}
		if j.isTaskDone(id) {
			continue
		}
		t := j.ownTask(id)
		t.failedRuns = runs
		j.noteLastAttempt(id, t)
	}
	if err := j.restoreCrashes(p); err != nil {
		return err
	}
	if err := j.restoreHistory(p.History); err != nil {
		return err
	}
	j.sortReturned()
	return nil
}

// restoreCrashes applies the crashes in a row of progress to a newly built job.
func (j *jobState) restoreCrashes(p Progress) error {
	for i, rows := range p.crashRows() {
		for key, workers := range *rows {
			id, err := j.taskByKey(key)
			if err != nil {
				return err
			}
			if !j.isTaskDone(id) {
				*j.ownTask(id).crashLists()[i] = workers
			}
		}
	}
	return nil
}

// crashRows returns the maps of the row for the lists of taskState.crashLists.
func (p *Progress) crashRows() [4]*map[string][]string {
	return [4]*map[string][]string{&p.Crashed, &p.BesideCrashes, &p.PossibleCrashes, &p.SharedCrashes}
}

// taskByKey returns the task for a key of a row of progress.
func (j *jobState) taskByKey(key string) (job.TaskID, error) {
	k, s, i, err := parseKey(key)
	if err != nil {
		return job.TaskID{}, err
	}
	spec := &j.record.Spec
	if k < 0 || k >= spec.Occurrences() || s < 0 || s >= len(spec.Steps) || i < 0 || i >= spec.Steps[s].Count {
		return job.TaskID{}, fmt.Errorf("progress refers to task %s, which job %s does not have", key, j.record.ID)
	}
	return job.TaskID{
		Job:        j.record.ID,
		Occurrence: k,
		Step:       s,
		Index:      i,
	}, nil
}

// parseKey splits a key of the form OCCURRENCE.STEP or OCCURRENCE.STEP.INDEX. The index is -1 if
// the key has none.
func parseKey(key string) (int, int, int, error) {
	numbers := []int{0, 0, -1}
	for i, part := range strings.Split(key, ".") {
		number, err := strconv.Atoi(part)
		if err != nil || i >= len(numbers) {
			return 0, 0, 0, fmt.Errorf("progress contains the invalid key %q", key)
		}
		numbers[i] = number
	}
	return numbers[0], numbers[1], numbers[2], nil
}

// taskKey returns the key of a task in a row of progress.
func taskKey(id job.TaskID) string {
	return stepKey(id.Occurrence, id.Step) + "." + strconv.Itoa(id.Index)
}

func stepKey(occurrence, step int) string {
	return strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
}

func (r Record) acceptedAt() time.Time {
	return time.UnixMilli(r.AcceptedMillis)
}
