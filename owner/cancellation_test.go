package owner_test

import (
	"context"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

// TestCancellationOfStandbyJob lets an entry claim a service with a job that is stored in the
// standby partition and whose cancellation is stored in the service's own partition.
func TestCancellationOfStandbyJob(t *testing.T) {
	rows := standin.NewRows()
	first := newEntry(t, "a", rows, alive("a"))
	until(t, "the first entry owns the service", first.owns)
	first.group.Stop()
	rows.Write(owner.StandbyIntakeKey("s", "job"), record("job").Encode())
	rows.Write(owner.CancelKey("s", "job"), []byte("cancel"))
	second := newEntry(t, "b", rows, refusePing)
	until(t, "the second entry owns the service", second.owns)
	untilCancelled(t, second, rows, "job")
}

// TestCancellationReadBeforeItsJob makes an owner lose the history of its rows, so that it reads
// all of them in the order of their keys. The key of the cancellation comes first.
func TestCancellationReadBeforeItsJob(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	e := newEntry(t, "a", rows, alive("a"))
	until(t, "the entry owns the service", e.owns)
	is.True(owner.CancelKey("s", "f").Name < owner.IntakeKey("s", "f").Name)
	rows.Write(owner.IntakeKey("s", "f"), record("f").Encode())
	rows.Write(owner.CancelKey("s", "f"), []byte("cancel"))
	rows.Forget()
	untilCancelled(t, e, rows, "f")
}

// refusePing is the ping of an entry that has ended.
func refusePing(context.Context, netip.AddrPort, string) (owner.Pong, error) {
	return owner.Pong{}, &outside.NotDoneError{
		Call: "ping",
	}
}

// untilCancelled waits until the owner reports a job as cancelled and the rows of the job and
// of its cancellation are removed.
func untilCancelled(t *testing.T, e *entry, rows *standin.Rows, id string) {
	t.Helper()
	until(t, "the job is reported as cancelled and its rows are removed", func() bool {
		duty, owns := e.keeper.Duty("s")
		if !owns {
			return false
		}
		state, found := duty.State(catalog.Caller{}, id)
		return found && state == job.Cancelled && !isInStandby(t, rows, owner.CancelKey("s", id)) &&
			!isInStandby(t, rows, owner.IntakeKey("s", id)) && !isInStandby(t, rows, owner.StandbyIntakeKey("s", id))
	})
}
