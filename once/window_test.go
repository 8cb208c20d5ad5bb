package once_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/once"
)

func TestWindow(t *testing.T) {
	key, err := once.ParseKey(uuid.Must(uuid.NewV7()).String())
	if err != nil {
		t.Fatal(err)
	}
	issued := key.Issued()
	cases := map[string]struct {
		start, end int64
		seen       []once.Grant
		before     func(w *once.Window)
		want       once.Verdict
	}{
		"first attempt": {
			start: issued,
			end:   issued + 1,
			want:  once.Granted,
		},
		"same attempt again": {
			end:    issued + 1,
			before: func(w *once.Window) { w.Claim(key, "a", issued) },
			want:   once.Granted,
		},
		"another attempt": {
			end:    issued + 1,
			before: func(w *once.Window) { w.Claim(key, "b", issued) },
			want:   once.Duplicate,
		},
		"another attempt given back": {
			end: issued + 1,
			before: func(w *once.Window) {
				w.Claim(key, "b", issued)
				w.Release(key, "b")
			},
			want: once.Granted,
		},
		"given back by a stranger": {
			end: issued + 1,
			before: func(w *once.Window) {
				w.Claim(key, "b", issued)
				w.Release(key, "c")
			},
			want: once.Duplicate,
		},
		"handed over with the window": {
			end: issued + 1,
			seen: []once.Grant{{
				Key:     key,
				Attempt: "b",
			}},
			want: once.Duplicate,
		},
		"issued before the range": {
			start: issued + 1,
			end:   issued + 2,
			want:  once.NotCovered,
		},
		"issued after the range": {
			end:  issued,
			want: once.NotCovered,
		},
		"closed": {
			end:    issued + 1,
			before: func(w *once.Window) { w.Close() },
			want:   once.NotCovered,
		},
		"forgotten for age": {
			end: issued + 1,
			before: func(w *once.Window) {
				w.Claim(key, "b", issued)
				w.Claim(key, "b", issued+int64(time.Hour/time.Millisecond))
			},
			want: once.NotCovered,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := once.NewWindow(once.AllGuards(), c.start, c.end, c.seen)
			if c.before != nil {
				c.before(w)
			}
			is.Equal(w.Claim(key, "a", issued), c.want)
		})
	}
}

func TestKeyNeedsTimeOfIssue(t *testing.T) {
	for _, text := range []string{"", "bay-7", uuid.NewString()} {
		is := is.New(t)
		_, err := once.ParseKey(text)
		is.True(err != nil) // An identity without a time of issue can't be fenced.
	}
}
