package job

import "fmt"

// Limits of a job. The length of the text is the platform's; the others keep a
// single job from filling an entry's memory.
const (
	// MaxOccurrences bounds the runs of a repeated job.
	MaxOccurrences = 10_000

	// MaxSteps bounds the steps of a job.
	MaxSteps = 256

	// MaxTasks bounds the tasks of one occurrence.
	MaxTasks = 20_000

	// MaxTextBytes bounds the text that is passed to workers.
	MaxTextBytes = 4_000

	// minYear and maxYear bound the year of the first run. Records hold times as in RFC 3339, whose
	// years are 0 to 9999; in another time zone the year may be the next or the last one.
	minYear = 1
	maxYear = 9998
)

// FieldError reports a field of a job that can't be accepted.
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s %s", e.Field, e.Reason)
}

// Check returns a *FieldError for the first field that can't be accepted.
func (s Spec) Check() error {
	if len(s.Text) > MaxTextBytes {
		return refuse("text", "is longer than %d bytes", MaxTextBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return refuse("steps", "must hold 1 to %d steps", MaxSteps)
	}
	if s.Repeats < 0 || s.Repeats > MaxOccurrences {
		return refuse("repeats", "must lie between 0 and %d", MaxOccurrences)
	}
	if year := s.FirstRun.UTC().Year(); year < minYear || year > maxYear {
		return refuse("firstRun", "must lie between the years %d and %d", minYear, maxYear)
	}
	if s.Repeats > 1 && s.Interval <= 0 {
		return refuse("interval", "must be positive where a job repeats")
	}
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
	}
	if tasks := s.Tasks(); tasks > MaxTasks {
		return refuse("steps", "hold %d tasks, at most %d may stand in one job", tasks, MaxTasks)
	}
	return nil
}

func (s Step) check(index int) error {
	name := fmt.Sprintf("step %d", index)
	if s.Count < 1 || s.Count > MaxTasks {
		return refuse(name, "must have 1 to %d tasks", MaxTasks)
	}
	if s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
		return refuse(name, "asks for a negative amount of a resource")
	}
	if s.PerWorker < 0 || s.MayMiss < 0 || s.Estimate < 0 || s.TailTarget < 0 {
		return refuse(name, "has a negative number")
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return refuse(name, "waits for step %d, which is not an earlier one", earlier)
		}
	}
	return nil
}

func refuse(field, format string, args ...any) error {
	return &FieldError{
		Field:  field,
		Reason: fmt.Sprintf(format, args...),
	}
}
