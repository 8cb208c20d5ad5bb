package shard

import (
	"math/bits"
	"slices"
	"time"

	"lemonstream.dev/lemonstream/job"
)

// less reports whether g is placed before o. It compares, in this order: the priority,
// long-running steps before others, the remaining value, the size of jobs that earn nothing any more,
// started jobs before others, and the deadline.
//
// Load pattern: there is more work than capacity for longer than a job can wait. Placing the
// earliest deadline first then spends the capacity on jobs that are about to be late. So once
// jobs miss their deadlines while they wait (newestFirst), the latest deadline comes first among
// jobs that have not started and can still end in time. Otherwise the earliest deadline comes
// first: a demand burst that is only a little above capacity then still ends in time.
func (g group) less(o group) bool {
	if g.job.policy.Priority != o.job.policy.Priority {
		return g.job.policy.Priority < o.job.policy.Priority
	}
	lasting := g.job.record.Spec.Steps[g.step].Lasting
	if lasting != o.job.record.Spec.Steps[o.step].Lasting {
		return lasting
	}
	if g.valueClass != o.valueClass {
		return g.valueClass < o.valueClass
	}
	if g.sizeRank != o.sizeRank {
		return g.sizeRank < o.sizeRank
	}
	if g.started != o.started {
		return g.started
	}
	if !g.deadline.Equal(o.deadline) {
		if g.newestFirst && !g.started && g.valueClass == valueFull {
			return g.deadline.After(o.deadline)
		}
		return g.deadline.Before(o.deadline)
	}
	if g.job.record.ID != o.job.record.ID {
		return g.job.record.ID < o.job.record.ID
	}
	if g.occurrence != o.occurrence {
		return g.occurrence < o.occurrence
	}
	return g.step < o.step
}

// rankBySize ranks the jobs that earn nothing any more by the number of their tasks that are due, in
// powers of two. Without it, small jobs that became late in an outage waited for the end of a large one
// that was late before them. Small jobs share a rank, so that they end in order.
func rankBySize(list []group, now time.Time) {
	tasks := make(map[*jobState]int)
	for i, g := range list {
		if g.valueClass != valueNone {
			continue
		}
		count, known := tasks[g.job]
		if !known {
			count = g.job.dueTasks(now)
			tasks[g.job] = count
		}
		list[i].sizeRank = bits.Len(uint(count / smallJobTasks))
	}
}

// detectMisses records the time when a job that has not started can no longer end in time, and
// reports whether the latest such time is within newestFirstPeriod.
func (s *Shard) detectMisses(list []group, now time.Time) bool {
	for _, g := range list {
		switch {
		case g.job.started || g.job.record.Spec.Repeats > 0:
		case g.valueClass == valueFull:
			g.job.canBeOnTime = true
		case g.job.canBeOnTime:
			g.job.canBeOnTime = false
			s.missedDeadlineAt = now
		}
	}
	return !s.missedDeadlineAt.IsZero() && now.Sub(s.missedDeadlineAt) < newestFirstPeriod
}

// remainingValue returns what a step's job can still earn if the step starts now. Repeated and
// long-running jobs as a whole have no deadline and always keep their full value.
func (s *Shard) remainingValue(g group, now time.Time) valueClass {
	if g.job.record.Spec.Repeats > 0 {
		return valueFull
	}
	return s.placementValue(g, now)
}

// placementValue returns what a step's job, or its occurrence if the job repeats, can still earn if the
// step starts now. Without the deadline of each occurrence, a repeating job with many overdue ones took
// all room for as long as they lasted, and no job that was handed in later began.
func (s *Shard) placementValue(g group, now time.Time) valueClass {
	if g.job.hasLongRunningStep() {
		return valueFull
	}
	objective := g.job.objective()
	if now.Sub(g.deadline.Add(-objective)) > valueExpiryFactor*objective {
		return valueNone
	}
	if now.Add(s.remainingTimeAt(g, now)).After(g.deadline) {
		return valuePartial
	}
	return valueFull
}

// remainingTimeAt returns remainingTime, which is the same for a step of all occurrences in one round.
func (s *Shard) remainingTimeAt(g group, now time.Time) time.Duration {
	j := g.job
	if !j.remainingAt.Equal(now) || j.remainingTimes == nil {
		j.remainingAt = now
		j.remainingTimes = make(map[int]time.Duration)
	}
	span, known := j.remainingTimes[g.step]
	if !known {
		span = s.remainingTime(g)
		j.remainingTimes[g.step] = span
	}
	return span
}

// remainingTime returns the expected time from the start of a step to the end of its job: that
// of the longest chain of dependent steps.
func (s *Shard) remainingTime(g group) time.Duration {
	steps := g.job.record.Spec.Steps
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := g.step; i < len(steps); i++ {
		if i > g.step {
			follows := false
			for _, earlier := range steps[i].After {
				if earlier >= g.step && ends[earlier] > 0 {
					follows = true
					ends[i] = max(ends[i], ends[earlier])
				}
			}
			if !follows {
				continue
			}
		}
		ends[i] += s.expectedRunTime(g.job, &steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}

// expectedRunTime returns how long a task of a step is expected to run: the mean of the caller's
// estimate, which may be far off, and of the measured run times of similar tasks.
func (s *Shard) expectedRunTime(j *jobState, spec *job.Step) time.Duration {
	m := s.runTimes[runTimeKey(j, spec)]
	if m == nil || m.count < minRunTimeSamples {
		return spec.Estimate
	}
	return (spec.Estimate + m.mean) / 2
}

// runTimeKey returns the key under which run times of a step's tasks are measured: its image, or
// the job's route where it has none.
func runTimeKey(j *jobState, spec *job.Step) string {
	if spec.Image != "" {
		return spec.Image
	}
	return j.record.Route
}

// recordRunTime adds the duration of a successful run to the moving mean of its image or route.
// Runs that this owner did not start are ignored: it does not know when they began.
func (s *Shard) recordRunTime(j *jobState, id job.TaskID, r *run, now time.Time) {
	if r == nil || r.order.Run == 0 {
		return
	}
	key := runTimeKey(j, &j.record.Spec.Steps[id.Step])
	m := s.runTimes[key]
	if m == nil {
		m = &runTimeStats{}
		s.runTimes[key] = m
	}
	m.count++
	weight := max(0.1, 1/float64(m.count))
	m.mean += time.Duration(weight * float64(now.Sub(r.startedAt)-m.mean))
}

// speculate starts copies of stragglers, where the step allows it.
func (s *Shard) speculate(now time.Time) {
	if now.Before(s.nextSpeculationAt) {
		return
	}
	s.nextSpeculationAt = now.Add(speculateInterval)
	for _, r := range s.stragglers(now) {
		j := s.jobs[r.id.Job]
		spec := &j.record.Spec.Steps[r.id.Step]
		t := j.task(r.id)
		// A copy of a task that crashes its workers would crash a second worker.
		if t == nil || len(t.runs) != 1 || t.lossesElsewhere(r.worker) > 0 || !s.withinQuota(j, spec, 1) {
			continue
		}
		if !s.mayAddRun(j, spec) || !s.maySendStart() {
			return
		}
		if other := s.choose(r.id, spec, t, now); other != nil {
			s.start(j, t, spec, r.id, other, now)
		}
	}
}

// stragglers returns the runs of which a copy may be started, in the order of their tasks.
func (s *Shard) stragglers(now time.Time) []*run {
	var list []*run
	for _, w := range s.workers {
		for id, r := range w.runs {
			j := s.jobs[id.Job]
			if j == nil || r.phase != phaseRunning || j.state.Final() {
				continue
			}
			spec := &j.record.Spec.Steps[id.Step]
			s.recordHanging(j, spec, r, now)
			if spec.Speculative && s.isStraggler(j, spec, r, now) {
				list = append(list, r)
			}
		}
	}
	slices.SortFunc(list, compareRuns)
	return list
}

// isStraggler reports whether a run takes much longer than both its estimate and the measured
// mean.
func (s *Shard) isStraggler(j *jobState, spec *job.Step, r *run, now time.Time) bool {
	m := s.runTimes[runTimeKey(j, spec)]
	if m == nil || m.count < minSpeculateSamples {
		return false
	}
	return now.Sub(r.startedAt) > time.Duration(stragglerFactor*float64(max(m.mean, spec.Estimate)))
}

// fitsNowhere reports whether a need is at least as large as one of those in known, for which no
// worker has room.
func fitsNowhere(known []job.Room, need job.Room) bool {
	for _, smaller := range known {
		if need.Fits(smaller) {
			return true
		}
	}
	return false
}
