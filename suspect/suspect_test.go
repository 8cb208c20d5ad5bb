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

func TestOnlyUnannouncedEndIsACrash(t *testing.T) {
	at := time.UnixMilli(1_000_000)
	for _, test := range []struct {
		name    string
		loss    suspect.Loss
		crashed bool
	}{
		{
			name: "silent, then another incarnation answers while the registration exists",
			loss: suspect.Loss{
				SilentSince: at,
			},
			crashed: true,
		},
		{
			name:    "another incarnation answers before any poll failed",
			crashed: true,
		},
		{
			name: "silent, and the registration lapsed later",
			loss: suspect.Loss{
				SilentSince: at,
				UnlistedAt:  at.Add(4 * time.Second),
			},
			crashed: true,
		},
		{
			name: "never answered this owner, and the registration ended",
			loss: suspect.Loss{
				Unheard:     true,
				UnlistedAt:  at,
				SilentSince: at.Add(time.Second),
			},
			crashed: true,
		},
		{
			name: "never answered this owner, and announced its end",
			loss: suspect.Loss{
				Unheard:  true,
				Draining: true,
			},
		},
		{
			name: "announced its end",
			loss: suspect.Loss{
				Draining:    true,
				SilentSince: at,
			},
		},
		{
			name: "registration ended unannounced, and the worker still answered afterwards",
			loss: suspect.Loss{
				UnlistedAt:  at,
				SilentSince: at.Add(2 * time.Second),
			},
		},
		{
			name: "registration ended unannounced, and the worker never was silent",
			loss: suspect.Loss{
				UnlistedAt: at,
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.loss.Crashed(), test.crashed)
		})
	}
}

// TestTaskIsGivenUpAtCrashLimit adds crashes in any order, some of them twice, as two
// successive owners may record the same crash. The task must be given up exactly when the
// third worker has crashed.
func TestTaskIsGivenUpAtCrashLimit(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		var marks suspect.Crashes
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
			t.Fatalf("%d crashed workers, given up %v", len(seen), marks.GivenUp())
		}
		if marks.Suspect() != (len(seen) > 0) || marks.NeedsIsolation() != (len(seen) >= 2) {
			t.Fatalf("%d crashed workers, suspect %v, isolated %v", len(seen), marks.Suspect(), marks.NeedsIsolation())
		}
	})
}
