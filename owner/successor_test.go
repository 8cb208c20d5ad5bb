package owner_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/owner"
)

func member(name string, cores float64, listed int64) owner.Member {
	return owner.Member{
		Incarnation: name,
		Cores:       cores,
		Listed:      listed,
	}
}

func TestSuccessorsAreStrongAndListedLast(t *testing.T) {
	listed := []owner.Member{
		member("self", 1, 90),
		member("old", 0.8, 10),
		member("new", 0.6, 30),
		member("newer", 0.8, 40),
		member("weak", 0.2, 50),
	}
	cases := map[string]struct {
		listed []owner.Member
		parts  []string
		total  int
		owned  map[string]int
		want   map[string]string
	}{
		"one part goes to the one listed last": {
			listed: listed,
			parts:  []string{"a"},
			total:  6,
			want: map[string]string{
				"a": "newer",
			},
		},
		"one with its share is left out": {
			listed: listed,
			parts:  []string{"a"},
			total:  6,
			owned: map[string]int{
				"newer": 2,
			},
			want: map[string]string{
				"a": "new",
			},
		},
		"several parts are assigned": {
			listed: listed,
			parts:  []string{"a", "b", "c"},
			total:  3,
			want: map[string]string{
				"a": "newer",
				"b": "new",
				"c": "old",
			},
		},
		"all have their share": {
			listed: listed,
			parts:  []string{"a"},
			total:  3,
			owned: map[string]int{
				"newer": 2,
				"new":   2,
				"old":   1,
			},
			want: map[string]string{
				"a": "old",
			},
		},
		"weak entries where no other is listed": {
			listed: []owner.Member{
				member("self", 1, 90),
				member("weak", 0.2, 50),
			},
			parts: []string{"a"},
			total: 1,
			want: map[string]string{
				"a": "weak",
			},
		},
		"nobody else": {
			listed: []owner.Member{
				member("self", 1, 90),
			},
			parts: []string{"a"},
			total: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			owned := make(map[string]int)
			for entry, count := range c.owned {
				owned[entry] = count
			}
			is.Equal(owner.AssignSuccessors(c.listed, "self", c.parts, c.total, owned), c.want)
		})
	}
}

// TestAssignSuccessorsSpreadsParts assigns parts to entries that own none. No entry gets more
// than its share, and the order of the list does not matter.
func TestAssignSuccessorsSpreadsParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.Permutation([]int64{1, 2, 3, 4, 5, 6, 7, 8, 9}).Draw(t, "versions")
		count := rapid.IntRange(1, len(versions)).Draw(t, "entries")
		var listed []owner.Member
		for i := range count {
			listed = append(listed, member(string(rune('a'+i)), 1, versions[i]))
		}
		parts := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{4}"), 1, 20, rapid.ID[string]).Draw(t, "parts")
		next := owner.AssignSuccessors(listed, "self", parts, len(parts), make(map[string]int))
		if len(next) != len(parts) {
			t.Fatalf("%d of %d parts are assigned", len(next), len(parts))
		}
		got := make(map[string]int)
		for _, entry := range next {
			got[entry]++
			if share := (len(parts) + count - 1) / count; got[entry] > share {
				t.Fatalf("%s gets more than %d of %d parts", entry, share, len(parts))
			}
		}
		turned := rapid.Permutation(listed).Draw(t, "turned")
		for part, entry := range owner.AssignSuccessors(turned, "self", parts, len(parts), make(map[string]int)) {
			if next[part] != entry {
				t.Fatalf("part %s goes to %s or %s", part, entry, next[part])
			}
		}
	})
}

// TestRowWithoutSuccessorDecodes decodes a row of an older version, which had no next owner,
// and has an older reader decode a row of the current version.
func TestRowWithoutSuccessorDecodes(t *testing.T) {
	is := is.New(t)
	type older struct {
		Epoch    int64  `cbor:"1,keyasint"`
		Owner    string `cbor:"2,keyasint"`
		Peer     string `cbor:"3,keyasint"`
		Released bool   `cbor:"4,keyasint,omitempty"`
	}
	row, err := cbor.Marshal(older{
		Epoch:    7,
		Released: true,
	})
	is.NoErr(err)
	var now owner.Ownership
	is.NoErr(cbor.Unmarshal(row, &now))
	is.Equal(now, owner.Ownership{
		Epoch:    7,
		Released: true,
	})
	now.Next = "b"
	row, err = cbor.Marshal(now)
	is.NoErr(err)
	var before older
	is.NoErr(cbor.Unmarshal(row, &before))
	is.Equal(before, older{
		Epoch:    7,
		Released: true,
	})
}
