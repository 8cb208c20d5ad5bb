package owner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/owner"
)

// TestClaimingWitnessNamesToldInstances guards against a successor that orders an instance which the
// owner had ordered without a write.
func TestClaimingWitnessNamesToldInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newOutageSite(8 * time.Second)
		s.start(t, "a", "b")
		time.Sleep(3 * time.Second)
		s.cut(true, "a", "b")
		time.Sleep(time.Second)
		answer := s.entries[1].keeper.Promise(context.Background(), owner.PromiseRequest{
			Part:    "s",
			Epoch:   1,
			Owner:   "a",
			Ordered: []string{"i1"},
		})
		is.True(answer.Promised > 0)
		promised := time.Now()
		s.entries[0].dead.Store(true)
		s.cut(false, "b")
		for !s.entries[1].owns() {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(promised) >= answer.Promised)
		is.Equal(s.beat(t).Ordered, []string{"i1"})
	})
}

// TestEarlierVersionSwitchesPromisesOff guards against witnesses while an entry is listed whose version
// does not know them: it would not wait for an owner that acts by promises.
func TestEarlierVersionSwitchesPromisesOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newOutageSite(8 * time.Second)
		s.start(t, "a", "b", "c")
		time.Sleep(3 * time.Second)
		is.Equal(len(s.beat(t).Witnesses), 2)
		s.entries[2].earlier.Store(true)
		time.Sleep(time.Second)
		is.Equal(len(s.beat(t).Witnesses), 0)
	})
}
