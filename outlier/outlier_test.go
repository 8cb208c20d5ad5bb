package outlier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/outlier"
)

// service is a fleet in virtual time.
type service struct {
	*outlier.Fleet
	now     time.Time
	workers []*outlier.Worker
	events  map[string]int
}

func newService(count int, share float64) *service {
	s := &service{
		now:    time.UnixMilli(1_000_000),
		events: make(map[string]int),
	}
	s.Fleet = outlier.New(outlier.Options{
		Share:      share,
		ProbeAfter: time.Second,
		Report:     func(event string, _ ...any) { s.events[event]++ },
	})
	for i := range count {
		s.workers = append(s.workers, s.Add(fmt.Sprintf("w%d", i)))
	}
	return s
}

// end ends runs of different jobs on a worker, each of which began just before.
func (s *service) end(worker, count int, failed bool) {
	for range count {
		s.now = s.now.Add(10 * time.Millisecond)
		if failed {
			s.Failed(s.workers[worker], &outlier.Work{}, "image", s.now, s.now)
		} else {
			s.Done(s.workers[worker], &outlier.Work{}, "image", s.now, s.now)
		}
	}
}

// TestFailingWorkerIsEjectedAndReturns guards against a worker that fails being used on, and against
// one that has recovered being left out.
func TestFailingWorkerIsEjectedAndReturns(t *testing.T) {
	is := is.New(t)
	s := newService(4, outlier.DefaultShare)
	for i := range s.workers {
		s.end(i, 3, false)
	}
	bad := s.workers[0]
	is.Equal(s.Allowance(bad, s.now), outlier.AllowAll)
	is.True(bad.IsProven(s.now))
	s.end(0, 1, true)
	is.Equal(s.Allowance(bad, s.now), outlier.AllowFew) // One failure without a success since.
	is.True(!bad.IsProven(s.now))
	s.end(0, 2, true)
	is.True(bad.IsEjected())
	is.Equal(s.Allowance(bad, s.now), outlier.AllowNone)
	for _, wait := range []int{1, 2, 4, 8, 16, 16} {
		s.now = s.now.Add(time.Duration(wait)*time.Second - 20*time.Millisecond)
		is.Equal(s.Allowance(bad, s.now), outlier.AllowNone)
		s.now = s.now.Add(20 * time.Millisecond)
		is.Equal(s.Allowance(bad, s.now), outlier.AllowProbe)
		s.end(0, 1, true)
	}
	is.True(bad.GiveBack(s.now))
	s.now = s.now.Add(16 * time.Second)
	s.end(0, 3, false)
	is.True(!bad.IsEjected())
	is.Equal(s.Allowance(bad, s.now), outlier.AllowPart)
	is.True(!bad.IsProven(s.now))
	s.end(0, 20, false)
	is.Equal(s.Allowance(bad, s.now), outlier.AllowAll)
	is.Equal(s.events[outlier.EventEjected], 1)
	is.Equal(s.events[outlier.EventReturned], 1)
}

// TestRunsFromBeforeTheEjectionAreNoProbes guards against a worker returning by what it had under way.
func TestRunsFromBeforeTheEjectionAreNoProbes(t *testing.T) {
	is := is.New(t)
	s := newService(4, outlier.DefaultShare)
	began := s.now
	s.end(1, 1, false)
	s.end(0, 5, true)
	is.True(s.workers[0].IsEjected())
	for range 5 {
		s.Done(s.workers[0], &outlier.Work{}, "image", began, s.now)
	}
	is.True(s.workers[0].IsEjected())
}

// TestJobThatFailsAnywhereEjectsNobody guards against a job that can never be done ejecting the
// workers that try it.
func TestJobThatFailsAnywhereEjectsNobody(t *testing.T) {
	is := is.New(t)
	s := newService(4, outlier.DefaultShare)
	for i := range s.workers {
		s.end(i, 3, false)
	}
	var work outlier.Work
	for i := range 16 {
		s.now = s.now.Add(10 * time.Millisecond)
		s.Failed(s.workers[i%4], &work, "image", s.now, s.now)
	}
	is.Equal(s.Ejected(), 0)
}

// TestNobodyIsEjectedWhereNearlyAllFail guards against a service without workers where the cause is
// not in the workers.
func TestNobodyIsEjectedWhereNearlyAllFail(t *testing.T) {
	is := is.New(t)
	s := newService(10, outlier.MaxShare)
	for n := range 5 {
		for i, w := range s.workers {
			// Each run is of another kind: the share of a kind that fails is learned.
			s.Failed(w, &outlier.Work{}, fmt.Sprint(n, i), s.now, s.now)
		}
	}
	is.Equal(s.Ejected(), 0)
	is.True(s.events[outlier.EventLimit] > 0)
	is.Equal(s.Allowance(s.workers[0], s.now), outlier.AllowAll)
}

// TestEjectedShare checks with any ends of runs that no more than the share is ejected, that the
// count is true, and that nothing is ejected with a share of 0.
func TestEjectedShare(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0, 0.1, 0.3, 0.5}).Draw(t, "share")
		s := newService(rapid.IntRange(1, 20).Draw(t, "workers"), share)
		for range rapid.IntRange(0, 200).Draw(t, "ends") {
			i := rapid.IntRange(0, len(s.workers)-1).Draw(t, "worker")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				s.Remove(s.workers[i], s.now)
				s.workers[i] = s.Add("next")
			case 1:
				s.Refused(s.workers[i], s.now)
			case 2:
				s.Hanging(s.workers[i], s.now)
			case 3, 4:
				s.end(i, 1, false)
			default:
				s.end(i, 1, i%3 > 0)
			}
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond)
			ejected := 0
			for _, w := range s.workers {
				if w.IsEjected() {
					ejected++
				}
			}
			if most := max(1, int(share*float64(len(s.workers)))); ejected > most || (share == 0 && ejected > 0) || ejected != s.Ejected() {
				t.Fatalf("%d of %d workers are ejected, %d are counted", ejected, len(s.workers), s.Ejected())
			}
		}
	})
}

// TestEvidenceOutlastsItsOwner guards against a successor that uses a failing worker again, and
// against evidence that cannot be true.
func TestEvidenceOutlastsItsOwner(t *testing.T) {
	is := is.New(t)
	s := newService(4, outlier.DefaultShare)
	s.end(0, 4, true)
	s.end(1, 1, true)
	s.end(2, 3, false)
	list := s.Evidence(s.now)
	is.Equal(len(list), 2)
	is.Equal(list[0].Worker, "w0") // The worst comes first.
	next := newService(4, outlier.DefaultShare)
	for i, e := range list {
		is.NoErr(e.Check())
		next.Restore(next.workers[i], e, next.now)
	}
	is.Equal(next.Ejected(), 1)
	is.Equal(next.Allowance(next.workers[0], next.now), outlier.AllowNone)
	is.Equal(next.Allowance(next.workers[1], next.now), outlier.AllowFew)
	for _, change := range []func(e *outlier.Evidence){
		func(e *outlier.Evidence) { e.Worker = "" },
		func(e *outlier.Evidence) { e.Ended = e.Failed - 1 },
		func(e *outlier.Evidence) { e.Failed = -1 },
		func(e *outlier.Evidence) { e.Odds = -1 },
		func(e *outlier.Evidence) { e.Odds = 1000 },
		func(e *outlier.Evidence) { e.ProbeInterval = time.Hour },
		func(e *outlier.Evidence) { e.OutFor = -1 },
	} {
		e := list[0]
		change(&e)
		is.True(e.Check() != nil)
	}
}

// TestLastWorkerStaysInUse guards against a service whose only worker is ejected.
func TestLastWorkerStaysInUse(t *testing.T) {
	is := is.New(t)
	s := newService(1, outlier.DefaultShare)
	s.end(0, 10, true)
	is.Equal(s.Ejected(), 0)
}

// TestRefusedProbePostponesTheNext guards against a start at every opportunity on an ejected worker that
// refuses all of them.
func TestRefusedProbePostponesTheNext(t *testing.T) {
	is := is.New(t)
	s := newService(4, outlier.DefaultShare)
	s.end(1, 3, false)
	s.end(0, 3, true)
	bad := s.workers[0]
	is.True(bad.IsEjected())
	s.now = s.now.Add(time.Second)
	for _, wait := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
		is.Equal(s.Allowance(bad, s.now), outlier.AllowProbe)
		s.Refused(bad, s.now)
		s.now = s.now.Add(wait - time.Millisecond)
		is.Equal(s.Allowance(bad, s.now), outlier.AllowNone)
		s.now = s.now.Add(time.Millisecond)
	}
}
