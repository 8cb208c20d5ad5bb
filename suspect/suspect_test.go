package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/suspect"
)

func TestOnlyAnEndWithoutAWordIsACrash(t *testing.T) {
	at := time.UnixMilli(1_000_000)
	for _, test := range []struct {
		name    string
		loss    suspect.Loss
		crashed bool
	}{
		{
			name: "another life answers while the registration stands",
			loss: suspect.Loss{
				Silent: at,
			},
			crashed: true,
		},
		{
			name:    "another life answers before a look has failed",
			crashed: true,
		},
		{
			name: "silent, and its registration lapsed later",
			loss: suspect.Loss{
				Silent:   at,
				Unlisted: at.Add(4 * time.Second),
			},
			crashed: true,
		},
		{
			name: "never heard from, and its registration is gone",
			loss: suspect.Loss{
				Unheard:  true,
				Unlisted: at,
				Silent:   at.Add(time.Second),
			},
			crashed: true,
		},
		{
			name: "never heard from, and announced",
			loss: suspect.Loss{
				Unheard:  true,
				Draining: true,
			},
		},
		{
			name: "announced",
			loss: suspect.Loss{
				Draining: true,
				Silent:   at,
			},
		},
		{
			name: "left without a word in its row, and served on",
			loss: suspect.Loss{
				Unlisted: at,
				Silent:   at.Add(2 * time.Second),
			},
		},
		{
			name: "left without a word, and never was silent",
			loss: suspect.Loss{
				Unlisted: at,
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.loss.Crashed(), test.crashed)
		})
	}
}

// TestNoTaskIsStartedMoreThanTheLimit adds crashes in any order, some seen twice by
// owners that succeed each other: a task is given up with the third worker and not
// before.
func TestNoTaskIsStartedMoreThanTheLimit(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		var marks suspect.Marks
		seen := make(map[string]bool)
		for _, worker := range rapid.SliceOfN(rapid.IntRange(0, 4), 0, 12).Draw(t, "workers") {
			id := fmt.Sprint("w", worker)
			var fresh bool
			marks, fresh = marks.Add(id)
			if fresh == seen[id] {
				t.Fatalf("%s: fresh=%v", id, fresh)
			}
			seen[id] = true
		}
		if marks.GivenUp() != (len(seen) >= 3) {
			t.Fatalf("%d workers, given up %v", len(seen), marks.GivenUp())
		}
		if marks.Suspect() != (len(seen) > 0) || marks.Alone() != (len(seen) >= 2) {
			t.Fatalf("%d workers, suspect %v, alone %v", len(seen), marks.Suspect(), marks.Alone())
		}
	})
}
