package state_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/config"
	"lemonstream.dev/lemonstream/fleet"
	"lemonstream.dev/lemonstream/state"
	"lemonstream.dev/lemonstream/store"
)

func encode(t *testing.T, key string, version int64, value any) store.Row {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return store.Row{
		Key:     key,
		Version: version,
		Value:   body,
	}
}

func configRow(t *testing.T, version int64, body string) store.Row {
	t.Helper()
	return encode(t, fleet.ConfigKey, version, config.Row{
		Version: version,
		Body:    []byte(body),
	})
}

// TestBrokenRowHoldsUpNothing has two rows that can't be read. Everything else
// goes on, they keep what was known of them, and their versions stay behind, so
// that nobody writes over what nobody could read.
func TestBrokenRowHoldsUpNothing(t *testing.T) {
	is := is.New(t)
	good := "[service s]\npool = p\n"
	key := fleet.InstanceKey("w0")
	before, err := state.BuildView(nil, []store.Row{
		configRow(t, 1, good),
		encode(t, key, 2, fleet.Instance{
			ID:    "w0",
			Phase: fleet.PhaseServing,
		}),
	}, nil)
	is.NoErr(err)
	after, err := state.BuildView(before, []store.Row{
		configRow(t, 3, "[nonsense]\n"),
		{
			Key:     key,
			Version: 4,
			Value:   []byte("{"),
		},
		encode(t, fleet.InstanceKey("w1"), 5, fleet.Instance{
			ID: "w1",
		}),
	}, nil)
	is.True(err != nil) // The faults are told,
	is.True(after != nil)
	is.Equal(after.Instances["w1"].ID, "w1") // and hold up nothing.
	is.Equal(after.Instances["w0"].Phase, fleet.PhaseServing)
	is.Equal(after.Rows[key].Version, int64(2))
	is.Equal(after.Config.Version, int64(1))
	is.Equal(after.Rows[fleet.ConfigKey].Version, int64(1))
	again, err := state.BuildView(after, []store.Row{
		configRow(t, 6, good),
	}, nil)
	is.NoErr(err)
	is.Equal(again.Config.Version, int64(6))
}
