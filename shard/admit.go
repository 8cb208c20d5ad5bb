package shard

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lemonstream.dev/lemonstream/backlog"
	"lemonstream.dev/lemonstream/job"
)

const (
	// surveyPause is the time between two reckonings of the work that waits, which
	// walks through all jobs; what is taken in between is added.
	surveyPause = 100 * time.Millisecond

	// spreadSteps is the number of steps in which callers are spread.
	spreadSteps = 1 << 16
)

// demand is work that has to be done.
type demand struct {
	// work is what it takes in instances for a time, quota the same in all of its
	// organisation's quota, 0 where there is none, and starts its tasks.
	work   time.Duration
	quota  time.Duration
	starts int
}

// survey is the work of jobs that can end in time, as reckoned at an instant.
type survey struct {
	at   time.Time
	each job.Room

	// demands holds the work by organisation.
	demands map[string]demand
}

// SetMost takes in how many instances the service could have at the most, by the word of
// the owner of the instances; 0 means that nobody knows.
func (s *Shard) SetMost(instances int) {
	s.most = instances
}

// admit decides whether a job that is handed in is taken.
func (s *Shard) admit(record Record, now time.Time) backlog.Verdict {
	mayRefuse := !s.standbyUnread && len(s.refused)+len(s.refusing) < refusedMost
	if mayRefuse && s.exceedsQuota(record) {
		return backlog.Verdict{
			ComeBack: backlog.ComeBackMost,
		}
	}
	if record.Spec.Repeats > 0 || s.most <= 0 || !mayRefuse {
		return backlog.Verdict{
			Take: true,
		}
	}
	s.look(now)
	asked := s.asked(record, now)
	work, starts := s.survey.within(asked.Useful())
	verdict := backlog.Decide(backlog.Service{
		Instances:       float64(s.most),
		Work:            work,
		Starts:          starts,
		StartsPerSecond: s.opts.Starts.PerSecond(startBytes + len(record.Spec.Text)),
	}, asked, float64(xxhash.Sum64String(record.ID)%spreadSteps)/spreadSteps)
	if asked.Work == 0 {
		// It is to last, or takes no room.
		verdict.Take = true
	}
	if verdict.Take {
		s.survey.add(record.Organisation, s.demandOf(record))
	}
	return verdict
}

// within returns the work and the starts that quotas let run in a time.
func (v *survey) within(span time.Duration) (time.Duration, int) {
	work, starts := 0.0, 0.0
	for _, d := range v.demands {
		part := 1.0
		if d.quota > span {
			part = float64(span) / float64(d.quota)
		}
		work += part * float64(d.work)
		starts += part * float64(d.starts)
	}
	return time.Duration(work), int(starts)
}

func (v *survey) add(organisation string, d demand) {
	v.demands[organisation] = v.demands[organisation].plus(d)
}

// asked returns what a job that is handed in asks for.
func (s *Shard) asked(record Record, now time.Time) backlog.Job {
	if record.Spec.Lasting() {
		return backlog.Job{}
	}
	j := newJob(record, record.Policy)
	d := s.demandOf(record)
	return backlog.Job{
		Chain:     chain(record.Spec),
		Objective: j.deadline.Sub(record.accepted()),
		Waited:    now.Sub(record.accepted()),
		Work:      d.work,
		Starts:    d.starts,
		Quota:     s.survey.demands[record.Organisation].quota + d.quota,
	}
}

// demandOf returns what all tasks of a job take.
func (s *Shard) demandOf(record Record) demand {
	j := newJob(record, record.Policy)
	var sum demand
	for i := range record.Spec.Steps {
		step := &record.Spec.Steps[i]
		if step.Lasting {
			return demand{}
		}
		sum = sum.plus(s.demand(j, step, s.expect(j, step), step.Count))
		sum.starts += step.Count
	}
	return sum
}

// demand returns what some tasks of a step take.
func (s *Shard) demand(j *jobState, step *job.Step, takes time.Duration, count int) demand {
	all := float64(count) * float64(takes)
	d := demand{
		work: time.Duration(step.Charge().Share(s.survey.each) * all),
	}
	if q, bounded := s.quotaOf(j.record.Organisation); bounded {
		d.quota = time.Duration(step.Need.Share(q.Limit) * all)
	}
	return d
}

func (d demand) plus(o demand) demand {
	return demand{
		work:   d.work + o.work,
		quota:  d.quota + o.quota,
		starts: d.starts + o.starts,
	}
}

// look reckons the work that is left of all jobs that can end in time.
func (s *Shard) look(now time.Time) {
	if now.Sub(s.survey.at) < surveyPause {
		return
	}
	s.survey = survey{
		at:      now,
		each:    s.meanRoom(),
		demands: make(map[string]demand),
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
		s.lookAt(j, now)
	}
}

// lookAt adds what has yet to start of a job that can end in time.
func (s *Shard) lookAt(j *jobState, now time.Time) {
	if j.state.Final() || j.lasts() || j.record.Spec.Repeats > 0 {
		return
	}
	if j.begunOccurrences == 0 {
		// Its record does not stand yet.
		s.survey.add(j.record.Organisation, s.demandOf(j.record))
		return
	}
	for k, o := range j.occurrences {
		for st, step := range o.steps {
			g := group{
				job:        j,
				occurrence: k,
				step:       st,
			}
			if len(step.idle) == 0 || s.outlookOf(g, now) != outlookFull {
				continue
			}
			spec := &j.record.Spec.Steps[st]
			d := s.demand(j, spec, s.expect(j, spec), len(step.idle))
			d.starts = len(step.idle)
			s.survey.add(j.record.Organisation, d)
		}
	}
}

// meanRoom returns the mean room of the service's workers by their own word; zero where
// none is listed. Of a worker that is known by its row only, the room is not known.
func (s *Shard) meanRoom() job.Room {
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
