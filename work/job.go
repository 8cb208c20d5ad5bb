// Package work runs jobs on the workers of their pools. Package place decides;
// this package keeps the jobs' rows in the table, one transaction a round and
// pool, and has the platform do what the rows say. An attempt is written before
// it is started, so that an entry that takes over starts the same attempt again
// and never another beside it.
package work

import (
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/place"
	"lemonstream.dev/lemonstream/store"
)

// States of a job.
const (
	StateCancelled State = "cancelled"

	// StateCancelling means that its task is being stopped.
	StateCancelling State = "cancelling"

	// StateCheckpointing means that its task is being saved and stopped.
	StateCheckpointing State = "checkpointing"

	StateFinished State = "finished"

	// StateRunning means that its newest attempt was seen to run.
	StateRunning State = "running"

	// StateSetAside means that the job is not tried again, for a reason.
	StateSetAside State = "set-aside"

	// StateStarting means that an attempt was decided on; it may or may not
	// have been started.
	StateStarting State = "starting"

	StateWaiting State = "waiting"
)

// Reasons for setting a job aside beside those of package place.
const (
	// ReasonMayHaveRun means that an unrepeatable job ended without a result.
	ReasonMayHaveRun place.Reason = "unrepeatable-and-may-have-run"

	// ReasonUnreadable means that the job's row can't be read.
	ReasonUnreadable place.Reason = "unreadable-row"
)

// Prefix starts the keys of jobs; the pool's name and the job's id follow.
const Prefix = "job/"

// Job is the value of a job's row.
type Job struct {
	ID   string `json:"id"`
	Pool string `json:"pool"`
	Team string `json:"team,omitempty"`

	// Urgent jobs start at once, if need be in the place of others.
	Urgent bool `json:"urgent,omitempty"`

	// Unrepeatable jobs are started at most once.
	Unrepeatable bool `json:"unrepeatable,omitempty"`

	// Declared is what the submitter says that the job takes.
	Declared store.Resources `json:"declared"`

	// Seen is the most that it was seen to take.
	Seen store.Resources `json:"seen"`

	State State `json:"state"`

	// Reason says why the job was set aside.
	Reason place.Reason `json:"reason,omitempty"`

	// Attempt counts the attempts; the newest is on Worker.
	Attempt int    `json:"attempt"`
	Worker  string `json:"worker,omitempty"`

	// Boot is the worker's count of starts when the attempt was placed there; 0 in rows of
	// earlier versions.
	Boot int64 `json:"boot,omitempty"`

	Checkpoints int             `json:"checkpoints,omitempty"`
	FailedOn    map[string]bool `json:"failed_on,omitempty"`

	// LostOn are the workers that ended without a word while an attempt ran there, each
	// named with its boot: by its id alone, one that starts again counts once for all its
	// crashes, or not at all.
	LostOn map[string]bool `json:"lost_on,omitempty"`

	// Submitted and Waiting are in milliseconds since the Unix epoch; Waiting
	// is since when the job waits.
	Submitted int64 `json:"submitted"`

	// Ended is when the job ended, in milliseconds since the Unix epoch; 0
	// before.
	Ended   int64 `json:"ended,omitempty"`
	Waiting int64 `json:"waiting"`
}

// State is where a job is.
type State string

// Key returns the key of the job's row.
func Key(pool, id string) string {
	return Prefix + pool + "/" + id
}

// TaskID names the job's newest attempt.
func (j *Job) TaskID() string {
	return fmt.Sprintf("%s/%s/%d", j.Pool, j.ID, j.Attempt)
}

// Over reports whether nothing will happen to the job any more.
func (j *Job) Over() bool {
	return j.State == StateFinished || j.State == StateCancelled || j.State == StateSetAside
}

// observe takes in what the platform says of the newest attempt. lost says that its
// worker has ended without a word.
func (j *Job) observe(task store.Task, lost bool, now time.Time) {
	j.Seen = store.Resources{
		Milliprocessors: max(j.Seen.Milliprocessors, task.Usage.Milliprocessors),
		Memory:          max(j.Seen.Memory, task.Usage.Memory),
	}
	switch task.State {
	case store.TaskRunning:
		if j.State == StateStarting {
			j.State = StateRunning
		}
	case store.TaskFinished:
		j.State = StateFinished
	case store.TaskFailed:
		j.FailedOn = with(j.FailedOn, task.Worker)
		j.requeue(now)
	case store.TaskCheckpointed:
		j.Checkpoints++
		j.resume(now)
	case store.TaskLapsed:
		if lost {
			j.LostOn = with(j.LostOn, lossOn(task.Worker, j.Boot))
		}
		j.requeue(now)
	case store.TaskStopped:
		j.State = StateCancelled
	}
}

// withdrawLosses removes the workers from LostOn that answer again: they were cut off, and did not end.
func (j *Job) withdrawLosses(answersAgain func(worker string, boot int64) bool) {
	maps.DeleteFunc(j.LostOn, func(loss string, _ bool) bool {
		at := strings.LastIndexByte(loss, '/')
		boot, err := strconv.ParseInt(loss[at+1:], 10, 64)
		return err == nil && at >= 0 && answersAgain(loss[:at], boot)
	})
}

// lossOn names a worker with its boot in LostOn.
func lossOn(worker string, boot int64) string {
	return fmt.Sprintf("%s/%d", worker, boot)
}

// with returns a set with one more worker.
func with(set map[string]bool, worker string) map[string]bool {
	if set == nil {
		set = make(map[string]bool)
	}
	set[worker] = true
	return set
}

// requeue has the job wait for another attempt, unless it may not have one.
func (j *Job) requeue(now time.Time) {
	if j.Unrepeatable && j.State != StateCancelling {
		j.State = StateSetAside
		j.Reason = ReasonMayHaveRun
		return
	}
	j.resume(now)
}

// resume has the job wait, or end if it was to be cancelled.
func (j *Job) resume(now time.Time) {
	j.Worker = ""
	j.Waiting = clock.Millis(now)
	if j.State == StateCancelling {
		j.State = StateCancelled
		return
	}
	j.State = StateWaiting
}

// sized returns the job as package place sees it.
func (j *Job) sized() place.Job {
	return place.Job{
		ID:          j.ID,
		Team:        j.Team,
		Urgent:      j.Urgent,
		Size:        place.EstimateSize(place.Size(j.Declared), place.Size(j.Seen)),
		Waiting:     clock.FromMillis(j.Waiting),
		Worker:      j.Worker,
		Checkpoints: j.Checkpoints,
		FailedOn:    j.FailedOn,
		LostOn:      j.LostOn,
	}
}

// task returns the newest attempt as the platform is asked for it.
func (j *Job) task() store.Task {
	return store.Task{
		ID:     j.TaskID(),
		Pool:   j.Pool,
		Worker: j.Worker,
	}
}

func decodeJob(row store.Row) (*Job, error) {
	var job Job
	if err := json.Unmarshal(row.Value, &job); err != nil {
		return nil, fmt.Errorf("decoding row %s: %w", row.Key, err)
	}
	return &job, nil
}
