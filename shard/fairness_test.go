package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
)

// submitFor submits a job of an organisation.
func (w *world) submitFor(organisation, id string, steps ...job.Step) {
	record := w.record(id, steps...)
	record.Organisation = organisation
	w.store(record)
	w.core.Accept(record, w.version, true, w.now)
}

// startsUnder returns how many jobs of each organisation are started in 14 s in which each asks
// for more than all workers have, and what was broken. Weights are those of the owner; nil for none.
func startsUnder(weights map[string]float64) (map[string]int, []string) {
	w := newWorld(2)
	if weights != nil {
		w.weight = func(name string) float64 { return weights[name] }
	}
	w.takeOver()
	w.run(6 * time.Second)
	for i := range 100 {
		// The jobs of the first are the most urgent.
		w.submitFor("busy", fmt.Sprintf("a%d", i), step(1))
		w.submitFor("heavy", fmt.Sprintf("b%d", i), step(1))
		w.submitFor("light", fmt.Sprintf("c%d", i), step(1))
	}
	w.run(14 * time.Second)
	counts := make(map[string]int)
	for id := range w.started {
		counts[map[byte]string{
			'a': "busy",
			'b': "heavy",
			'c': "light",
		}[id.Job[0]]]++
	}
	return counts, w.violations
}

// TestOrganisationsShareRoomByWeight covers organisations whose jobs wait together. Without weights
// the one with the most urgent jobs took all room.
func TestOrganisationsShareRoomByWeight(t *testing.T) {
	prove.Scenario(t, prove.Quota, "organisations-take-turns", func(on bool) string {
		weights := map[string]float64{
			"busy":  1,
			"heavy": 2,
			"light": 1,
		}
		if !on {
			weights = nil
		}
		counts, violations := startsUnder(weights)
		if len(violations) > 0 {
			return fmt.Sprint(violations)
		}
		sum := counts["busy"] + counts["heavy"] + counts["light"]
		if sum < 100 {
			return fmt.Sprintf("only %v were started", counts)
		}
		for name, part := range map[string]float64{
			"busy":  0.25,
			"heavy": 0.5,
			"light": 0.25,
		} {
			if share := float64(counts[name]) / float64(sum); share < part-0.03 || share > part+0.03 {
				return fmt.Sprintf("%s started %.2f of %v", name, share, counts)
			}
		}
		return ""
	})
}

// TestOrganisationAloneTakesAllRoom covers room that nobody else asks for, and an organisation that
// comes back after others took it.
func TestOrganisationAloneTakesAllRoom(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.weight = func(string) float64 { return 1 }
	w.takeOver()
	w.run(6 * time.Second)
	for i := range 40 {
		w.submitFor("busy", fmt.Sprintf("a%d", i), step(1))
	}
	w.run(5 * time.Second)
	alone := len(w.started)
	is.True(alone >= 16) // Four tasks fit at one time, each for a second.
	for i := range 8 {
		w.submitFor("other", fmt.Sprintf("b%d", i), step(1))
	}
	w.run(5 * time.Second)
	others := 0
	for id := range w.started {
		if id.Job[0] == 'b' {
			others++
		}
	}
	is.Equal(others, 8) // It owes nothing for the time in which it was not there, and is owed nothing.
	w.check(t)
}
