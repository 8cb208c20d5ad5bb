package shard

import (
	"maps"
	"slices"
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outlier"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/suspect"
)

// jobState is the state of one job in memory.
type jobState struct {
	record Record
	policy catalog.Policy

	// state is the state that the owner has decided. Callers see it only once it is stored in
	// the job's row.
	state job.State

	// fresh means that no earlier owner can have started a task of the job.
	fresh bool

	// readAt is when this owner learned of a record that may have been written after another owner
	// claimed the service; zero if it was certainly written before. See isConfirmed.
	readAt time.Time

	// restored means that the job was read from rows, with the progress stored by earlier owners.
	restored bool

	// fault is what the ends of the job's runs say of the job itself.
	fault outlier.Work

	// canBeOnTime means that the job had not started and could still meet its deadline at the
	// last evaluation.
	canBeOnTime bool

	// started means that a task of the job has started, or that the job has ended.
	started bool

	// occurrences holds the open occurrences by number. All occurrences before nextOccurrence are
	// open or ended; those after it may be, if an earlier owner had begun them.
	occurrences    map[int]*occurrence
	nextOccurrence int

	// ended holds the occurrences that have ended, remaining counts the others, due or not.
	ended     bitset
	remaining int

	// mayBeLarge says that the job has enough tasks to be a large one while they are due.
	mayBeLarge bool

	// untouched is the state of a task to which nothing has happened yet. It is never changed.
	untouched *taskState

	// deadline is the time until which the completed job earns its full value.
	deadline time.Time

	// remainingTimes holds the results of remainingTime by step, as of remainingAt.
	remainingTimes map[int]time.Duration
	remainingAt    time.Time

	// endedAt is when the job reached a final state, failure why that state is Failed.
	endedAt time.Time
	failure *Failure

	// rowBytes is the size of the row of progress as it was written last.
	rowBytes int

	// activeRuns counts the runs on workers, including those that are being stopped.
	activeRuns int

	// unwritten means that the job was submitted to this owner and its record is not stored yet;
	// until then the job is neither started nor shown. submitted means that no batch holds the
	// record yet. submitWaiters are called with the answer to the submission.
	unwritten     bool
	submitted     bool
	submitWaiters []func(SubmitResult)

	// batched means that a batch for the service's own partition holds the record. rejected is why the
	// record can't be stored any more, nil as long as it can; a write that is under way still decides.
	batched  bool
	rejected *SubmitResult

	// standing is a record that was found under the ID of the unwritten job while a write of the job
	// was under way; nil for none.
	standing *Existing

	// offeredStandby means that a batch for the standby partition holds the job's record or final
	// state, or that the final state is already stored there. inStandby means that the standby
	// partition holds rows of the job. finalStored means that the final state is stored in the
	// service's own part.
	offeredStandby bool
	inStandby      bool
	finalStored    bool

	// cancelRow means that a row requests the job's cancellation.
	cancelRow bool

	// cancelWaiters are called once the cancellation of the job is stored.
	cancelWaiters []func()
}

// taskState is the state of one task.
type taskState struct {
	done bool

	// failedRuns lists the numbers of the failed runs, each once.
	failedRuns []int64

	// crashes holds the workers that crashed while they ran the task, and possibleCrashes those
	// that may have, because it is unknown how the run there ended. besideCrashes are those of
	// crashes on which another task was started later. sharedCrashes are those of crashes and
	// possibleCrashes on which other tasks ran that this owner may not know. crashBatch is the batch
	// that stores the newest of crashes.
	crashes         suspect.Crashes
	besideCrashes   suspect.Crashes
	possibleCrashes suspect.Crashes
	sharedCrashes   suspect.Crashes
	crashBatch      int64

	// isolatedWaitSince is when the task began to wait for a dedicated worker, zero if it does
	// not. loggedWait means that it was logged that no worker can be reserved for it.
	isolatedWaitSince time.Time
	loggedWait        bool

	// lastAttempt says that one more failed run fails the job, triedBefore that an attempt was used
	// already. heldSince is since when a proven worker is waited for, although another one would
	// have taken the task; zero if it is not.
	lastAttempt bool
	triedBefore bool
	heldSince   time.Time

	// waitingSince is since when the task has waited for a worker, also for room, while one was
	// ejected. onlyEjectedSince is since when none but ejected workers could take it even when
	// empty. Both are zero if that is not so.
	waitingSince     time.Time
	onlyEjectedSince time.Time

	// lastRun is the highest run number that this owner has assigned or found on a worker.
	lastRun int64

	// ownStart is the last start that this owner ordered while the task had no run; nil for none.
	ownStart *ownStart

	// checkpoint is the newest checkpoint that was reported; empty for none.
	checkpoint string

	// runs holds at most two runs: the regular one and a speculative copy.
	runs []*run

	// failedWorkers lists the incarnations of workers on which a run of the task failed.
	failedWorkers []outside.Incarnation

	// idleSince is when the task last lost its run; zero before its first.
	idleSince time.Time
}

// runTimeStats is a running mean of run times.
type runTimeStats struct {
	mean  time.Duration
	count int
}

// newJob returns a queued job without open occurrences.
func newJob(record Record, policy catalog.Policy) *jobState {
	j := &jobState{
		record:     record,
		policy:     policy,
		state:      job.Queued,
		remaining:  record.Spec.Occurrences(),
		mayBeLarge: record.Spec.Tasks()*record.Spec.Occurrences() >= largeJobTasks,
		untouched: &taskState{
			lastAttempt: policy.Attempts <= 1,
		},
	}
	j.deadline = record.acceptedAt().Add(policy.Target + time.Duration(policy.Stretch*float64(criticalPath(record.Spec))))
	return j
}

// criticalPath returns the longest sum of estimates along a chain of dependent steps.
func criticalPath(spec job.Spec) time.Duration {
	ends := make([]time.Duration, len(spec.Steps))
	longest := time.Duration(0)
	for i := range spec.Steps {
		begin := time.Duration(0)
		for _, earlier := range spec.Steps[i].After {
			begin = max(begin, ends[earlier])
		}
		ends[i] = begin + spec.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// objective returns the time from the hand-in of the job, or from the due time of an occurrence, within
// which it earns its full value.
func (j *jobState) objective() time.Duration {
	return j.deadline.Sub(j.record.acceptedAt())
}

// isLate reports whether the job is past its deadline. Long-running and repeating jobs have none.
func (j *jobState) isLate(now time.Time) bool {
	return j.record.Spec.Repeats == 0 && !j.hasLongRunningStep() && now.After(j.deadline)
}

// hasLongRunningStep reports whether a step of the job runs until the job is cancelled.
func (j *jobState) hasLongRunningStep() bool {
	for i := range j.record.Spec.Steps {
		if j.record.Spec.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// task returns the state of a task to be read, or nil if the job has no such task.
func (j *jobState) task(id job.TaskID) *taskState {
	spec := &j.record.Spec
	if id.Occurrence >= spec.Occurrences() || id.Step >= len(spec.Steps) || id.Index >= spec.Steps[id.Step].Count {
		return nil
	}
	if step := j.step(id); step != nil {
		return step.task(id.Index)
	}
	if o := j.occurrences[id.Occurrence]; j.isEnded(id.Occurrence) || (o != nil && o.ended.has(id.Step)) {
		return &taskState{
			done: true,
		}
	}
	return j.untouched
}

// ownTask returns the state of a task to be changed, or nil if the job has no such task. It opens the
// task's occurrence and step if needed; see release.
func (j *jobState) ownTask(id job.TaskID) *taskState {
	step := j.openStep(id.Occurrence, id.Step)
	if step == nil || id.Index < 0 || id.Index >= step.count {
		return nil
	}
	return step.own(id.Index)
}

// forEachState calls do for each task with a state of its own, in order.
func (j *jobState) forEachState(do func(id job.TaskID, t *taskState)) {
	for _, k := range j.sortedOccurrences() {
		o := j.occurrences[k]
		for _, s := range slices.Sorted(maps.Keys(o.steps)) {
			for _, i := range o.steps[s].sortedStates() {
				do(job.TaskID{
					Job:        j.record.ID,
					Occurrence: k,
					Step:       s,
					Index:      i,
				}, o.steps[s].states[i])
			}
		}
	}
}

// attempts returns how many runs of a task have failed. A failed run of any member of a gang
// counts for all members.
func (j *jobState) attempts(id job.TaskID, t *taskState) int {
	if !j.record.Spec.Steps[id.Step].Gang {
		return len(t.failedRuns)
	}
	failedRuns := make(map[int64]bool)
	step := j.step(id)
	if step == nil {
		return 0
	}
	for _, member := range step.states {
		for _, number := range member.failedRuns {
			failedRuns[number] = true
		}
	}
	return len(failedRuns)
}
