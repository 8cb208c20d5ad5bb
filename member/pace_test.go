package member_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/member"
)

func TestEqualHellosEncodeEqually(t *testing.T) {
	is := is.New(t)
	hello := member.Hello{
		Demands: map[string]float64{
			"a": 1,
			"b": 2,
			"c": 3,
			"d": 4,
		},
	}
	first, err := member.Encode(hello)
	is.NoErr(err)
	for range 50 {
		again, err := member.Encode(hello)
		is.NoErr(err)
		is.True(bytes.Equal(first, again)) // Otherwise an idle entry has news all the time.
	}
}
