package peer_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/peer"
)

// TestOwnerComparesOrganisations covers calls of other entries about a job of an organisation. An
// entry of a version that does not send the caller's organisation is answered as before.
func TestOwnerComparesOrganisations(t *testing.T) {
	is := is.New(t)
	address := serve(t, newKeeper(t, standin.NewRows()))
	client := peer.NewClient(nil)
	theirs := record("a")
	theirs.Organisation = "north"
	is.NoErr(client.Submit(t.Context(), address, "s", theirs))
	other := theirs
	other.Organisation = "south"
	var foreign *owner.ForeignError
	is.True(errors.As(client.Submit(t.Context(), address, "s", other), &foreign))
	for caller, shown := range map[catalog.Caller]bool{
		{Organisation: "north"}:               true,
		{Organisation: "south"}:               false,
		{}:                                    false,
		{Public: true}:                        false, // The job's own route is not public.
		{Public: true, Organisation: "north"}: true,
		{Unchecked: true}:                     true,
	} {
		_, found, err := client.State(t.Context(), address, "s", caller, "a")
		is.NoErr(err)
		is.Equal(found, shown)
		if !shown {
			cancelled, err := client.Cancel(t.Context(), address, "s", caller, "a")
			is.NoErr(err)
			is.True(!cancelled)
		}
	}
	cancelled, err := client.Cancel(t.Context(), address, "s", catalog.Caller{
		Organisation: "north",
	}, "a")
	is.NoErr(err)
	is.True(cancelled)
}
