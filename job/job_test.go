package job_test

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
)

func TestShareIsWhatBindsFirst(t *testing.T) {
	is := is.New(t)
	each := job.Room{
		MilliCPU: 4000,
		MemoryMB: 1000,
	}
	is.Equal(job.Room{
		MilliCPU: 1000,
		MemoryMB: 500,
	}.Share(each), 0.5)
	is.Equal(job.Room{
		MilliCPU:     8000,
		Accelerators: 3,
	}.Share(each), 2.0) // What the room has none of binds nothing.
	is.Equal(job.Room{}.Share(job.Room{}), 0.0)
}

// A job whose first run lies beyond year 9999 was accepted, and the encoder of its record panicked.
func TestFirstRunThatNoRecordHoldsIsRefused(t *testing.T) {
	for _, test := range []struct {
		name   string
		at     time.Time
		refuse bool
	}{
		{
			name: "1970",
			at:   time.UnixMilli(0),
		},
		{
			name: "before 1970",
			at:   time.UnixMilli(-1),
		},
		{
			name: "year 9998",
			at:   time.Date(9998, time.December, 31, 23, 59, 59, 0, time.UTC),
		},
		{
			name:   "year 9999",
			at:     time.Date(9999, time.January, 1, 0, 0, 0, 0, time.UTC),
			refuse: true,
		},
		{
			name:   "year 0",
			at:     time.Date(0, time.December, 31, 23, 59, 59, 0, time.UTC),
			refuse: true,
		},
		{
			name:   "the last that there is",
			at:     time.UnixMilli(math.MaxInt64),
			refuse: true,
		},
		{
			name:   "the first that there is",
			at:     time.UnixMilli(math.MinInt64),
			refuse: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			err := job.Spec{
				Steps: []job.Step{{
					Count: 1,
				}},
				FirstRun: test.at,
				Repeats:  1,
			}.Check()
			var field *job.FieldError
			is.Equal(errors.As(err, &field), test.refuse)
		})
	}
}
