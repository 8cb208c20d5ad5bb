package catalog_test

import (
	"io"
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/catalog"
)

func TestEvacuationsHoldUntilTheyAreTakenBack(t *testing.T) {
	is := is.New(t)
	e := catalog.NewEvacuations(slog.New(slog.NewTextHandler(io.Discard, nil)))
	is.Equal(e.Has("a"), false)
	e.Set("a", true)
	e.Set("a", true) // Asked for twice.
	e.Set("b", true)
	is.Equal(e.Zones(), []string{"a", "b"})
	e.Set("a", false)
	is.Equal(e.Has("a"), false)
	is.True(e.Has("b"))
	e.Set("c", false) // One that nobody evacuated.
	is.Equal(e.Zones(), []string{"b"})
}

// TestEvacuationWhoseEndWasMissedIsDropped covers an entry that reads the whole table anew
// because the changes since its last read are forgotten.
func TestEvacuationWhoseEndWasMissedIsDropped(t *testing.T) {
	is := is.New(t)
	e := catalog.NewEvacuations(slog.New(slog.NewTextHandler(io.Discard, nil)))
	e.Replace([]string{"a", "b"})
	e.Replace([]string{"b", "c"})
	is.Equal(e.Zones(), []string{"b", "c"})
}
