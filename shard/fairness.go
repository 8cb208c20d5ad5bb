package shard

import (
	"math"
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
)

// fairQuantum is the work that an organisation of weight 1 may start in one round of the deficit
// round robin, in time of a whole worker. It is about that of one task: larger rounds let one
// organisation take all room that becomes free at one moment.
const fairQuantum = 200 * time.Millisecond

// fairness divides room between organisations in proportion to their weights by deficit round
// robin: an organisation may start work as long as its deficit lasts, which every round raises by
// fairQuantum times its weight and every start lowers by the work of the task.
type fairness struct {
	// deficits holds, by organisation with waiting work, how much more work it may start. It is
	// below zero if it started more than that, because the others had nothing to start.
	deficits map[string]time.Duration

	// workerCapacity is the mean capacity of a worker as of the last placement.
	workerCapacity job.Room
}

// share reorders groups of the same priority and remaining value so that organisations take turns.
// The groups of one organisation keep their order, and long-running steps keep their places: they
// come first in any case.
func (s *Shard) share(list []group) {
	if s.opts.Weight == nil {
		return
	}
	s.fairness.workerCapacity = s.meanCapacity()
	s.dropIdleDeficits(list)
	for from := 0; from < len(list); {
		to := from + 1
		for to < len(list) && list[from].sharesClass(list[to]) {
			to++
		}
		if !list[from].job.record.Spec.Steps[list[from].step].Lasting {
			copy(list[from:to], s.takeTurns(list[from:to]))
		}
		from = to
	}
}

// sharesClass reports whether two groups have the same priority and remaining value, and whether
// both are long-running or neither.
func (g group) sharesClass(o group) bool {
	return g.job.policy.Priority == o.job.policy.Priority && g.valueClass == o.valueClass &&
		g.job.record.Spec.Steps[g.step].Lasting == o.job.record.Spec.Steps[o.step].Lasting
}

// dropIdleDeficits forgets organisations without waiting work, and gives new ones the deficit of
// the one that may start next, so that nobody saves up while it has nothing to start.
func (s *Shard) dropIdleDeficits(list []group) {
	waiting := make(map[string]bool)
	for _, g := range list {
		waiting[g.job.record.Organisation] = true
	}
	highest := time.Duration(math.MinInt64)
	for name, deficit := range s.fairness.deficits {
		if !waiting[name] {
			delete(s.fairness.deficits, name)
			continue
		}
		highest = max(highest, deficit)
	}
	if len(s.fairness.deficits) == 0 {
		highest = 0
		s.fairness.deficits = make(map[string]time.Duration)
	}
	for name := range waiting {
		if _, known := s.fairness.deficits[name]; !known {
			s.fairness.deficits[name] = highest
		}
	}
}

// takeTurns returns the groups in the order of the round robin.
func (s *Shard) takeTurns(list []group) []group {
	queues := make(map[string][]group)
	var names []string
	for _, g := range list {
		name := g.job.record.Organisation
		if len(queues[name]) == 0 {
			names = append(names, name)
		}
		queues[name] = append(queues[name], g)
	}
	if len(names) < 2 {
		return list
	}
	slices.Sort(names)
	deficits := make(map[string]time.Duration, len(names))
	for _, name := range names {
		deficits[name] = s.fairness.deficits[name]
	}
	ordered := make([]group, 0, len(list))
	for len(ordered) < len(list) {
		name := s.nextTurn(names, queues, deficits)
		g := queues[name][0]
		queues[name] = queues[name][1:]
		deficits[name] -= s.workOf(g, g.state().idle)
		ordered = append(ordered, g)
	}
	return ordered
}

// nextTurn returns the organisation with waiting groups that needs the fewest rounds until its
// deficit is above zero, and raises all deficits by these rounds.
func (s *Shard) nextTurn(names []string, queues map[string][]group, deficits map[string]time.Duration) string {
	next, fewest := "", math.Inf(1)
	for _, name := range names {
		if len(queues[name]) == 0 {
			continue
		}
		rounds := max(0, -float64(deficits[name])/(float64(fairQuantum)*s.weightOf(name)))
		if rounds < fewest {
			next, fewest = name, rounds
		}
	}
	for _, name := range names {
		if len(queues[name]) > 0 {
			deficits[name] += time.Duration(fewest * float64(fairQuantum) * s.weightOf(name))
		}
	}
	return next
}

// chargeStart lowers the deficit of the organisation that starts count tasks, and raises those of all
// that wait by the rounds after which the first of them may start again.
func (s *Shard) chargeStart(g group, count int) {
	name := g.job.record.Organisation
	if _, waits := s.fairness.deficits[name]; s.opts.Weight == nil || !waits {
		return
	}
	s.fairness.deficits[name] -= s.workOf(g, count)
	fewest := math.Inf(1)
	for other, deficit := range s.fairness.deficits {
		fewest = min(fewest, max(0, -float64(deficit)/(float64(fairQuantum)*s.weightOf(other))))
	}
	for other := range s.fairness.deficits {
		s.fairness.deficits[other] += time.Duration(fewest * float64(fairQuantum) * s.weightOf(other))
	}
}

// workOf returns the work of count tasks of a group, in time of a whole worker.
func (s *Shard) workOf(g group, count int) time.Duration {
	spec := &g.job.record.Spec.Steps[g.step]
	one := spec.Charge().Share(s.fairness.workerCapacity) * float64(s.expectedRunTime(g.job, spec))
	return time.Duration(one * float64(count))
}

// weightOf returns the weight of an organisation. One without a weight, and jobs of none, have 1.
func (s *Shard) weightOf(organisation string) float64 {
	if weight := s.opts.Weight(organisation); weight > 0 {
		return weight
	}
	return 1
}
