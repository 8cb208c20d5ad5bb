package owner_test

import (
	"context"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

// TestCancellationOfAJobInTheStandbyPart lets an entry take a service of which a job
// stands in the standby part, and its cancellation in the service's own.
func TestCancellationOfAJobInTheStandbyPart(t *testing.T) {
	rows := standin.NewRows()
	first := newEntry(t, "a", rows, alive("a"))
	until(t, "the first entry owns the service", first.owns)
	first.group.Stop()
	rows.Write(owner.StandbyIntakeKey("s", "job"), record("job").Encode())
	rows.Write(owner.CancelKey("s", "job"), []byte("cancel"))
	second := newEntry(t, "b", rows, refused)
	until(t, "the second entry owns the service", second.owns)
	untilCancelled(t, second, rows, "job")
}

// TestCancellationReadBeforeItsJob lets an owner miss the history of its rows, so that
// it reads them all in the order of their keys: that of the cancellation comes first.
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

// refused is a ping to an entry that has ended.
func refused(context.Context, netip.AddrPort, string) (owner.Pong, error) {
	return owner.Pong{}, &outside.NotDoneError{
		Call: "ping",
	}
}

// untilCancelled waits until the owner shows a job as cancelled and the rows that made
// it so are gone.
func untilCancelled(t *testing.T, e *entry, rows *standin.Rows, id string) {
	t.Helper()
	until(t, "the job is shown as cancelled and its rows are gone", func() bool {
		duty, owns := e.keeper.Duty("s")
		if !owns {
			return false
		}
		state, found := duty.State(id)
		return found && state == job.Cancelled && !standsInStandby(t, rows, owner.CancelKey("s", id)) &&
			!standsInStandby(t, rows, owner.IntakeKey("s", id)) && !standsInStandby(t, rows, owner.StandbyIntakeKey("s", id))
	})
}
