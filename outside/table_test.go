package outside_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/outside"
)

func TestOutcomeOfCall(t *testing.T) {
	refused := &outside.NotDoneError{
		Status: 503,
	}
	cases := map[string]struct {
		err       error
		notDone   bool
		uncertain bool
	}{
		"none": {},
		"refused": {
			err:     refused,
			notDone: true,
		},
		"no answer": {
			err: &outside.UncertainError{
				Cause: errors.New("timeout"),
			},
			uncertain: true,
		},
		"unknown status": {
			err: &outside.UncertainError{
				Cause: refused,
			},
			uncertain: true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(outside.IsNotDone(c.err), c.notDone)
			is.Equal(outside.IsUncertain(c.err), c.uncertain)
		})
	}
}
