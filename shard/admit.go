package shard

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lemonstream.dev/lemonstream/backlog"
	"lemonstream.dev/lemonstream/job"
)

const (
	// backlogRefreshInterval is the minimum time between two full backlog estimates, each of
	// which walks all jobs. Jobs accepted in between are added to the current estimate.
	backlogRefreshInterval = 100 * time.Millisecond

	// jitterSteps is the number of values of the jitter that spreads the retries of refused
	// callers.
	jitterSteps = 1 << 16
)

// demand is the amount of work that a set of tasks needs.
type demand struct {
	// work is instance time: a task that needs a tenth of an instance for a second adds
	// 100 ms. quotaTime is how long the work takes with the whole quota of its organisation,
	// 0 if that has no quota. starts is the number of tasks that have yet to start.
	work      time.Duration
	quotaTime time.Duration
	starts    int
}

// survey is the remaining work of the jobs that can end in time, as of computedAt.
type survey struct {
	computedAt     time.Time
	workerCapacity job.Room

	// demands holds the work of each organisation.
	demands map[string]demand
}

// SetMaxInstances sets the maximum number of instances that the service could have, as reported
// by the instance controller; 0 means that it is unknown.
func (s *Shard) SetMaxInstances(instances int) {
	s.maxInstances = instances
}

// admit decides whether a submitted job is accepted.
func (s *Shard) admit(record Record, now time.Time) backlog.Verdict {
	mayRefuse := !s.standbyUnread && len(s.storedRefusals)+len(s.refusing) < maxRefusals
	if mayRefuse && s.exceedsQuota(record) {
		return backlog.Verdict{
			RetryAfter: backlog.MaxRetryAfter,
		}
	}
	if record.Spec.Repeats > 0 || s.maxInstances <= 0 || !mayRefuse {
		return backlog.Verdict{
			Accept: true,
		}
	}
	s.refreshBacklog(now)
	backlogJob := s.backlogJob(record, now)
	work, starts := s.survey.runnableWithin(backlogJob.UsefulFor())
	verdict := backlog.Decide(backlog.Service{
		Instances:       float64(s.maxInstances),
		Work:            work,
		Starts:          starts,
		StartsPerSecond: s.opts.Starts.MessagesPerSecond(startOverheadBytes + len(record.Spec.Text)),
	}, backlogJob, float64(xxhash.Sum64String(record.ID)%jitterSteps)/jitterSteps)
	if backlogJob.Work == 0 {
		// The job is long-running or needs no resources.
		verdict.Accept = true
	}
	if verdict.Accept {
		s.survey.add(record.Organisation, s.jobDemand(record))
	}
	return verdict
}

// runnableWithin returns how much of the work and how many of the starts the quotas of all
// organisations allow within span.
func (v *survey) runnableWithin(span time.Duration) (time.Duration, int) {
	work, starts := 0.0, 0.0
	for _, d := range v.demands {
		part := 1.0
		if d.quotaTime > span {
			part = float64(span) / float64(d.quotaTime)
		}
		work += part * float64(d.work)
		starts += part * float64(d.starts)
	}
	return time.Duration(work), int(starts)
}

func (v *survey) add(organisation string, d demand) {
	v.demands[organisation] = v.demands[organisation].plus(d)
}

// backlogJob returns what a submitted job requests; zero if the job is long-running.
func (s *Shard) backlogJob(record Record, now time.Time) backlog.Job {
	if record.Spec.Lasting() {
		return backlog.Job{}
	}
	j := newJob(record, record.Policy)
	d := s.jobDemand(record)
	return backlog.Job{
		Chain:     criticalPath(record.Spec),
		Objective: j.deadline.Sub(record.acceptedAt()),
		Waited:    now.Sub(record.acceptedAt()),
		Work:      d.work,
		Starts:    d.starts,
		Quota:     s.survey.demands[record.Organisation].quotaTime + d.quotaTime,
	}
}

// jobDemand returns the demand of all tasks of a job; zero if the job is long-running.
func (s *Shard) jobDemand(record Record) demand {
	j := newJob(record, record.Policy)
	var sum demand
	for i := range record.Spec.Steps {
		step := &record.Spec.Steps[i]
		if step.Lasting {
			return demand{}
		}
		sum = sum.plus(s.demand(j, step, s.expectedRunTime(j, step), step.Count))
		sum.starts += step.Count
	}
	return sum
}

// demand returns the work of count tasks of a step that run for the given duration each.
func (s *Shard) demand(j *jobState, step *job.Step, duration time.Duration, count int) demand {
	all := float64(count) * float64(duration)
	d := demand{
		work: time.Duration(step.Charge().Share(s.survey.workerCapacity) * all),
	}
	if q, bounded := s.quotaOf(j.record.Organisation); bounded {
		d.quotaTime = time.Duration(step.Need.Share(q.Limit) * all)
	}
	return d
}

func (d demand) plus(o demand) demand {
	return demand{
		work:      d.work + o.work,
		quotaTime: d.quotaTime + o.quotaTime,
		starts:    d.starts + o.starts,
	}
}

// refreshBacklog estimates the remaining work of all jobs that can end in time, unless the last
// estimate is younger than backlogRefreshInterval.
func (s *Shard) refreshBacklog(now time.Time) {
	if now.Sub(s.survey.computedAt) < backlogRefreshInterval {
		return
	}
	s.survey = survey{
		computedAt:     now,
		workerCapacity: s.meanCapacity(),
		demands:        make(map[string]demand),
	}
	for _, w := range s.workers {
		for id, r := range w.runs {
			j := s.jobs[id.Job]
			step, found := s.stepOf(id)
			if found && !step.Lasting && !j.isLate(now) {
				s.survey.add(r.organisation, s.demand(j, step, s.left(r, step, now), 1))
			}
		}
	}
	for _, j := range s.jobs {
		s.addPendingDemand(j, now)
	}
}

// addPendingDemand adds the tasks of a job that have yet to start to the estimate, as far as the
// job can still end in time.
func (s *Shard) addPendingDemand(j *jobState, now time.Time) {
	if j.state.Final() || j.hasLongRunningStep() || j.record.Spec.Repeats > 0 {
		return
	}
	if len(j.occurrences) == 0 {
		// The record is not stored yet, so no occurrence is open.
		s.survey.add(j.record.Organisation, s.jobDemand(j.record))
		return
	}
	j.openSteps(func(open openStepCount) {
		g := newGroup(j, open.occurrence, open.step)
		if open.idle == 0 || s.remainingValue(g, now) != valueFull {
			return
		}
		spec := &j.record.Spec.Steps[open.step]
		d := s.demand(j, spec, s.expectedRunTime(j, spec), open.idle)
		d.starts = open.idle
		s.survey.add(j.record.Organisation, d)
	})
}

// meanCapacity returns the mean capacity in the registrations of the service's workers; zero if
// there is none. The capacity of a worker that is known by its row only is unknown.
func (s *Shard) meanCapacity() job.Room {
	var sum job.Room
	count := 0
	for _, w := range s.workers {
		if w.listed {
			sum = sum.Add(w.reg.Capacity)
			count++
		}
	}
	count = max(1, count)
	return job.Room{
		MilliCPU:     sum.MilliCPU / count,
		MemoryMB:     sum.MemoryMB / count,
		Accelerators: sum.Accelerators / count,
	}
}
