package owner_test

import (
	"fmt"
	"testing"
	"time"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
)

// TestManyWavesAreStored guards against a transaction that holds the rows of all new waves: 120 waves at
// once had more entries than the store takes, and no instance was moved or maintained any more.
func TestManyWavesAreStored(t *testing.T) {
	const waves = 300
	rows := standin.NewRows()
	f := &idleFleet{
		moved: make(map[string]map[string]bool),
	}
	newEntryWith(t, "a", rows.Table(), alive("a"), func(deps owner.Deps, name string) owner.Deps {
		deps = f.deps(deps, name)
		deps.Waves.Waves = func() []outside.Wave {
			list := make([]outside.Wave, waves)
			for i := range list {
				list[i] = outside.Wave{
					Number:    int64(i + 1),
					Instances: []string{fmt.Sprintf("other%d", i)},
					Within:    time.Hour,
					AtOnce:    1,
				}
			}
			return list
		}
		deps.Waves.StatusKey = func(wave int64) outside.Key {
			return outside.Key{
				Table: "status",
				Name:  fmt.Sprint(wave),
			}
		}
		deps.Waves.Status = func(bool) []byte { return []byte("running") }
		return deps
	})
	until(t, "all waves are shown", func() bool {
		list, _, err := rows.Table().ReadAll(t.Context(), "status", "")
		return err == nil && len(list) == waves
	})
}
