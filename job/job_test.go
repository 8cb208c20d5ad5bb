package job_test

import (
	"testing"

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
