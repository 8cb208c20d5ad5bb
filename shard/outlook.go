package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
)

// less orders by priority, lasting work first, then by what a job can still earn, then
// jobs that were begun, then by deadline. Load pattern: more work than room for longer than
// a job can wait. Going by the deadline there spends the room on jobs that are about to be
// late; so once jobs are passed over until they are, the newest of those that were not
// begun goes first. Of twice the room's work 0.26 was served in time by deadline alone and
// 0.44 so, of a bound of 0.58 (lemonmeasure overload, means of two days). While no job is
// lost the deadline decides: a turn that is a little over the room ends in time by it.
func (g group) less(o group) bool {
	if g.job.policy.Priority != o.job.policy.Priority {
		return g.job.policy.Priority < o.job.policy.Priority
	}
	lasting := g.job.record.Spec.Steps[g.step].Lasting
	if lasting != o.job.record.Spec.Steps[o.step].Lasting {
		return lasting
	}
	if g.outlook != o.outlook {
		return g.outlook < o.outlook
	}
	if g.job.begun != o.job.begun {
		return g.job.begun
	}
	if !g.job.deadline.Equal(o.job.deadline) {
		if g.newest && !g.job.begun && g.outlook == outlookFull {
			return g.job.deadline.After(o.job.deadline)
		}
		return g.job.deadline.Before(o.job.deadline)
	}
	if g.job.record.ID != o.job.record.ID {
		return g.job.record.ID < o.job.record.ID
	}
	if g.occurrence != o.occurrence {
		return g.occurrence < o.occurrence
	}
	return g.step < o.step
}

// watchLosses notes when a job was last passed over until it could not end in time any
// more, and reports whether that was lately.
func (s *Shard) watchLosses(list []group, now time.Time) bool {
	for _, g := range list {
		switch {
		case g.job.begun || g.job.record.Spec.Repeats > 0:
		case g.outlook == outlookFull:
			g.job.hopeful = true
		case g.job.hopeful:
			g.job.hopeful = false
			s.lossAt = now
		}
	}
	return !s.lossAt.IsZero() && now.Sub(s.lossAt) < lossMemory
}

// outlookOf tells what a step's job can still earn if the step starts now.
func (s *Shard) outlookOf(g group, now time.Time) outlook {
	if g.job.record.Spec.Repeats > 0 || g.job.lasts() {
		return outlookFull
	}
	accepted := g.job.record.accepted()
	if now.Sub(accepted) > lateFactor*g.job.deadline.Sub(accepted) {
		return outlookNone
	}
	if now.Add(s.remaining(g)).After(g.job.deadline) {
		return outlookLate
	}
	return outlookFull
}

// remaining returns how long the longest chain from a step to the end of its
// job takes.
func (s *Shard) remaining(g group) time.Duration {
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
		ends[i] += s.expect(g.job, &steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}

// expect returns how long a task of a step will take: the mean of its caller's
// estimate, which may be far off, and of what tasks of its kind took.
func (s *Shard) expect(j *jobState, spec *job.Step) time.Duration {
	m := s.learned[measureKey(j, spec)]
	if m == nil || m.count < expectSamples {
		return spec.Estimate
	}
	return (spec.Estimate + m.mean) / 2
}

// measureKey names the tasks that behave like those of a step.
func measureKey(j *jobState, spec *job.Step) string {
	if spec.Image != "" {
		return spec.Image
	}
	return j.record.Route
}

// learn takes in how long a run of an image took.
func (s *Shard) learn(j *jobState, id job.TaskID, r *run, now time.Time) {
	if r == nil || r.order.Run == 0 {
		return
	}
	key := measureKey(j, &j.record.Spec.Steps[id.Step])
	m := s.learned[key]
	if m == nil {
		m = &measure{}
		s.learned[key] = m
	}
	m.count++
	weight := max(0.1, 1/float64(m.count))
	m.mean += time.Duration(weight * float64(now.Sub(r.began)-m.mean))
}

// speculate starts copies of tasks that take much longer than usual, where
// the step allows it.
func (s *Shard) speculate(now time.Time) {
	if now.Before(s.speculateAt) {
		return
	}
	s.speculateAt = now.Add(speculatePause)
	for _, w := range s.workers {
		for id, r := range w.runs {
			j := s.jobs[id.Job]
			if j == nil || r.phase != phaseRunning || j.state.Final() {
				continue
			}
			spec := &j.record.Spec.Steps[id.Step]
			if !spec.Speculative || !s.overdue(j, spec, r, now) {
				continue
			}
			t := j.task(id)
			// A copy of a task that crashes its workers takes a second one with it.
			if t == nil || len(t.runs) != 1 || t.crashed.Suspect() || !s.withinQuota(j, spec, 1) {
				continue
			}
			if other := s.choose(id, spec, t, now); other != nil {
				s.start(j, t, spec, id, other, now)
			}
		}
	}
}

// overdue reports whether a run takes much longer than its estimate and what
// was measured say.
func (s *Shard) overdue(j *jobState, spec *job.Step, r *run, now time.Time) bool {
	m := s.learned[measureKey(j, spec)]
	if m == nil || m.count < speculateSamples {
		return false
	}
	return now.Sub(r.began) > time.Duration(speculateAfter*float64(max(m.mean, spec.Estimate)))
}

// hopeless reports whether a need is at least one that no worker has room for.
func hopeless(full []job.Room, need job.Room) bool {
	for _, known := range full {
		if need.Fits(known) {
			return true
		}
	}
	return false
}
