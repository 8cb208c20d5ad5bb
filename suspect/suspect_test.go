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

func TestOnlyCertainUnannouncedEndIsACrash(t *testing.T) {
	const lead = 1750 * time.Millisecond
	at := time.UnixMilli(1_000_000)
	for _, test := range []struct {
		name    string
		loss    suspect.Loss
		verdict suspect.Verdict
	}{
		{
			name: "silent, then another incarnation answers while the registration exists",
			loss: suspect.Loss{
				Ended:    true,
				ListedAt: at,
				LostAt:   at,
			},
			verdict: suspect.Crash,
		},
		{
			name: "another incarnation answers, and the registrations were last read before an announcement would show",
			loss: suspect.Loss{
				Ended:    true,
				ListedAt: at.Add(-lead - time.Millisecond),
				LostAt:   at,
			},
			verdict: suspect.PossibleCrash,
		},
		{
			name: "silent, and the registration lapsed later",
			loss: suspect.Loss{
				ListedAt:   at,
				LostAt:     at,
				UnlistedAt: at.Add(4 * time.Second),
			},
			verdict: suspect.PossibleCrash,
		},
		{
			name: "silent, the registration lapsed later, and another worker answers",
			loss: suspect.Loss{
				Ended:      true,
				ListedAt:   at,
				LostAt:     at,
				UnlistedAt: at.Add(4 * time.Second),
			},
			verdict: suspect.Crash,
		},
		{
			name: "another worker answers, and the instance may have been ordered away",
			loss: suspect.Loss{
				Ended:    true,
				Closed:   true,
				ListedAt: at,
				LostAt:   at,
			},
			verdict: suspect.PossibleCrash,
		},
		{
			name: "never answered this owner, and the registration ended",
			loss: suspect.Loss{
				Unheard:    true,
				Ended:      true,
				UnlistedAt: at,
				LostAt:     at.Add(time.Second),
			},
			verdict: suspect.PossibleCrash,
		},
		{
			name: "never answered this owner, and another worker answers while the registration exists",
			loss: suspect.Loss{
				Unheard:  true,
				Ended:    true,
				ListedAt: at,
				LostAt:   at.Add(time.Second),
			},
			verdict: suspect.Crash,
		},
		{
			name: "never answered this owner, and announced its end",
			loss: suspect.Loss{
				Unheard:   true,
				Announced: true,
				Ended:     true,
				ListedAt:  at,
				LostAt:    at,
			},
		},
		{
			name: "announced its end",
			loss: suspect.Loss{
				Announced: true,
				Ended:     true,
				ListedAt:  at,
				LostAt:    at,
			},
		},
		{
			name: "registration ended unannounced, and the worker still answered afterwards",
			loss: suspect.Loss{
				Ended:      true,
				ListedAt:   at,
				UnlistedAt: at,
				LostAt:     at.Add(2 * time.Second),
			},
		},
		{
			name: "registration ended unannounced, and the worker never was silent",
			loss: suspect.Loss{
				ListedAt:   at,
				UnlistedAt: at,
				LostAt:     at,
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.loss.Verdict(lead), test.verdict)
		})
	}
}

// TestCrashCountsOnceUnderEitherName adds one crash under the worker's id alone and with its start
// time, as two successive owners may know the incarnation.
func TestCrashCountsOnceUnderEitherName(t *testing.T) {
	is := is.New(t)
	for _, names := range [][]string{
		{"w", "w@5"},
		{"w@5", "w"},
	} {
		var marks suspect.Crashes
		for _, name := range names {
			marks, _ = marks.Add(name)
		}
		is.Equal(marks, suspect.Crashes{"w@5"})
	}
	marks, fresh := suspect.Crashes{"w@5"}.Add("w@6")
	is.True(fresh)
	is.Equal(len(marks), 2)
}

// TestUncertainCrashesGiveUpLater checks how many losses a task may have, by how many of them are
// certain to be crashes under it.
func TestUncertainCrashesGiveUpLater(t *testing.T) {
	is := is.New(t)
	for certain, limit := range []int{suspect.LossLimit, suspect.LossLimit, suspect.CrashLimit, suspect.CrashLimit} {
		for uncertain := range suspect.LossLimit {
			is.Equal(givenUp(certain, uncertain), certain+uncertain >= limit)
		}
	}
}

// TestCrashesOfOtherTasksGiveUpLater checks how many losses a task may have, by how many crashes are its
// own, if other tasks explain or share the rest.
func TestCrashesOfOtherTasksGiveUpLater(t *testing.T) {
	is := is.New(t)
	for own, limit := range []int{suspect.LossLimit, suspect.LossLimit, suspect.SharedCrashLimit, suspect.CrashLimit} {
		for shared := range suspect.LossLimit {
			for explained := range suspect.LossLimit {
				e := suspect.Evidence{
					Own:       own,
					Shared:    shared,
					Explained: explained,
				}
				is.Equal(e.GivenUp(), own+shared+explained >= limit)
			}
		}
	}
}

// givenUp reports whether a task is given up after so many certain and uncertain crashes.
func givenUp(certain, uncertain int) bool {
	return suspect.Evidence{
		Own:       certain,
		Uncertain: uncertain,
	}.GivenUp()
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
		if givenUp(len(marks), 0) != (len(seen) >= 3) {
			t.Fatalf("%d crashed workers, given up %v", len(seen), givenUp(len(marks), 0))
		}
		if marks.Suspect() != (len(seen) > 0) || suspect.NeedsIsolation(len(marks)) != (len(seen) >= 2) {
			t.Fatalf("%d crashed workers, suspect %v, isolated %v", len(seen), marks.Suspect(), suspect.NeedsIsolation(len(marks)))
		}
	})
}
