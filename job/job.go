// Package job holds the domain of the scheduler: jobs, their steps and the
// tasks of a step. The types are plain values; nothing here does input or
// output.
package job

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// States that a job is shown in.
const (
	// Queued means that no task of the job has begun.
	Queued State = "queued"

	// Running means that a task has begun and the job has not ended.
	Running State = "running"

	// Completed means that every task has ended well and the table says so.
	Completed State = "completed"

	// Failed means that a task used up its attempts.
	Failed State = "failed"

	// Cancelled means that the caller withdrew the job.
	Cancelled State = "cancelled"
)

// Room is an amount of a worker's resources.
type Room struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int

	// MemoryMB is in megabytes.
	MemoryMB int

	// Accelerators is a whole number of devices.
	Accelerators int
}

// Spec is what a caller handed in. It never changes after it was accepted.
type Spec struct {
	// Text is passed to the worker as it is.
	Text string

	// Steps holds at least one step; a step only waits for earlier ones.
	Steps []Step

	// FirstRun, Interval and Repeats describe a repeated job; Repeats is 0 for
	// a job that runs once, at once.
	FirstRun time.Time
	Interval time.Duration
	Repeats  int
}

// State is what a caller is shown of a job.
type State string

// Step is one stage of a job: Count tasks that are alike.
type Step struct {
	// Count is at least 1.
	Count int

	// Need is the room that one task takes on its worker.
	Need Room

	// Estimate is the caller's guess of one task's run time; it may be off by
	// a factor of ten.
	Estimate time.Duration

	// After lists earlier steps all of whose tasks must have ended well.
	After []int

	// Checkpoints says that a task saves its progress as it runs.
	Checkpoints bool

	// Gang says that the tasks run only together, SameRack that they are slow
	// unless they share a rack.
	Gang     bool
	SameRack bool

	// Label is what the worker must carry; empty means any worker.
	Label string

	// DataRack is the rack near the step's data; empty means any rack.
	DataRack string

	// PerWorker is the most tasks of the step on one worker at a time; 0 means
	// no limit.
	PerWorker int

	// Speculative allows copies of a task to run side by side.
	Speculative bool

	// Lasting says that the tasks run until the job is cancelled.
	Lasting bool

	// Image names the program; tasks of one image behave alike.
	Image string

	// TailTarget is the bound on the answer times of a task that serves; 0
	// means that the task does not serve.
	TailTarget time.Duration

	// Filler says that the task runs on what others leave unused, so that its
	// processor need is not counted.
	Filler bool

	// MayMiss is the number of tasks of the step that the scheduler may keep
	// away at one time; HasMayMiss says whether a number was given.
	MayMiss    int
	HasMayMiss bool
}

// TaskID names one task.
type TaskID struct {
	Job string

	// Occurrence counts the runs of a repeated job from 0.
	Occurrence int

	// Step and Index count from 0.
	Step  int
	Index int
}

// Add returns the sum of two rooms.
func (r Room) Add(o Room) Room {
	return Room{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Fits reports whether o fits into r.
func (r Room) Fits(o Room) bool {
	return o.MilliCPU <= r.MilliCPU && o.MemoryMB <= r.MemoryMB && o.Accelerators <= r.Accelerators
}

// Share returns which part of a room r takes, by whatever binds first: above 1 where it
// does not fit. What the room has none of binds nothing.
func (r Room) Share(of Room) float64 {
	share := 0.0
	for _, one := range [][2]int{
		{r.MilliCPU, of.MilliCPU},
		{r.MemoryMB, of.MemoryMB},
		{r.Accelerators, of.Accelerators},
	} {
		if one[1] > 0 {
			share = max(share, float64(one[0])/float64(one[1]))
		}
	}
	return share
}

// Sub returns r less o.
func (r Room) Sub(o Room) Room {
	return Room{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		MemoryMB:     r.MemoryMB - o.MemoryMB,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// AtLeast returns the larger of two rooms, part by part.
func (r Room) AtLeast(o Room) Room {
	return Room{
		MilliCPU:     max(r.MilliCPU, o.MilliCPU),
		MemoryMB:     max(r.MemoryMB, o.MemoryMB),
		Accelerators: max(r.Accelerators, o.Accelerators),
	}
}

// AtMost returns the smaller of two rooms, part by part.
func (r Room) AtMost(o Room) Room {
	return Room{
		MilliCPU:     min(r.MilliCPU, o.MilliCPU),
		MemoryMB:     min(r.MemoryMB, o.MemoryMB),
		Accelerators: min(r.Accelerators, o.Accelerators),
	}
}

// Charge returns the room that a task of the step takes on a worker.
func (s Step) Charge() Room {
	need := s.Need
	if s.Filler {
		need.MilliCPU = 0
	}
	return need
}

// Final reports whether the state never changes again.
func (s State) Final() bool {
	return s == Completed || s == Failed || s == Cancelled
}

// Occurrences returns how many times the steps run.
func (s Spec) Occurrences() int {
	return max(1, s.Repeats)
}

// Tasks returns the number of tasks of one occurrence.
func (s Spec) Tasks() int {
	tasks := 0
	for i := range s.Steps {
		tasks += s.Steps[i].Count
	}
	return tasks
}

// Due returns when the given occurrence may start; the zero time means at once.
func (s Spec) Due(occurrence int) time.Time {
	if s.Repeats == 0 {
		return time.Time{}
	}
	return s.FirstRun.Add(time.Duration(occurrence) * s.Interval)
}

// Lasting reports whether a step of the job runs until it is cancelled.
func (s Spec) Lasting() bool {
	for i := range s.Steps {
		if s.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// ParseTaskID reads a task's name, which is JOB.OCCURRENCE.STEP.INDEX.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, &NameError{
			Name: name,
		}
	}
	numbers := make([]int, 0, 3)
	for _, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskID{}, &NameError{
				Name: name,
			}
		}
		numbers = append(numbers, number)
	}
	return TaskID{
		Job:        parts[0],
		Occurrence: numbers[0],
		Step:       numbers[1],
		Index:      numbers[2],
	}, nil
}

// Compare orders tasks by job, occurrence, step and index.
func (t TaskID) Compare(other TaskID) int {
	return cmp.Or(
		strings.Compare(t.Job, other.Job),
		cmp.Compare(t.Occurrence, other.Occurrence),
		cmp.Compare(t.Step, other.Step),
		cmp.Compare(t.Index, other.Index),
	)
}

// String returns the task's name.
func (t TaskID) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step within its job.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// NameError reports a text that names no task.
type NameError struct {
	Name string
}

// Error implements error.
func (e *NameError) Error() string {
	return fmt.Sprintf("%q names no task: want JOB.OCCURRENCE.STEP.INDEX", e.Name)
}
