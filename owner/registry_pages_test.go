package owner_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/outside"
)

// TestReadOfSeveralPagesUndoesNoChange removes the registration of a worker after an owner's read of
// all registrations has passed it, and lets the registry learn of that from the changes before the
// last page arrives. The worker must not be listed again.
func TestReadOfSeveralPagesUndoesNoChange(t *testing.T) {
	const workers = 40 // More than the first page holds.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startRegistry(t)
		for i := range workers {
			f.rows.Write(outside.Key{
				Table: "workers",
				Name:  fmt.Sprintf("w%02d", i),
			}, []byte("4000"))
		}
		time.Sleep(2 * time.Second)
		is.Equal(len(f.workers()), workers)
		f.nextPage = func() {
			f.nextPage = nil
			f.write("w00", "")
			is.Equal(len(f.workers()), workers-1)
		}
		is.NoErr(f.registry.Refresh(context.Background()))
		time.Sleep(10 * time.Second)
		is.True(!slices.Contains(f.workers(), "w00=4000"))
	})
}
