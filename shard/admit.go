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

// survey is the work of jobs that can end in time, as reckoned at an instant.
type survey struct {
	at     time.Time
	work   time.Duration
	starts int
	each   job.Room
}

// SetMost takes in how many instances the service could have at the most, by the word of
// the owner of the instances; 0 means that nobody knows.
func (s *Shard) SetMost(instances int) {
	s.most = instances
}

// admit decides whether a job that is handed in is taken.
func (s *Shard) admit(record Record, now time.Time) backlog.Verdict {
	if record.Spec.Repeats > 0 || s.most <= 0 || s.standbyUnread || len(s.refused)+len(s.refusing) >= refusedMost {
		return backlog.Verdict{
			Take: true,
		}
	}
	s.look(now)
	asked := s.asked(record, now)
	verdict := backlog.Decide(backlog.Service{
		Instances:       float64(s.most),
		Work:            s.survey.work,
		Starts:          s.survey.starts,
		StartsPerSecond: s.opts.Starts.PerSecond(startBytes + len(record.Spec.Text)),
	}, asked, float64(xxhash.Sum64String(record.ID)%spreadSteps)/spreadSteps)
	if asked.Work == 0 {
		// It is to last, or takes no room.
		verdict.Take = true
	}
	if verdict.Take {
		s.survey.work += asked.Work
		s.survey.starts += asked.Starts
	}
	return verdict
}

// asked returns what a job that is handed in asks for.
func (s *Shard) asked(record Record, now time.Time) backlog.Job {
	j := newJob(record, record.Policy)
	asked := backlog.Job{
		Chain:     chain(record.Spec),
		Objective: j.deadline.Sub(record.accepted()),
		Waited:    now.Sub(record.accepted()),
	}
	for i := range record.Spec.Steps {
		step := &record.Spec.Steps[i]
		if step.Lasting {
			return backlog.Job{}
		}
		asked.Work += s.survey.of(step, s.expect(j, step), step.Count)
		asked.Starts += step.Count
	}
	return asked
}

// look reckons the work that is left of all jobs that can end in time.
func (s *Shard) look(now time.Time) {
	if now.Sub(s.survey.at) < surveyPause {
		return
	}
	s.survey = survey{
		at:   now,
		each: s.meanRoom(),
	}
	for _, w := range s.workers {
		for id, r := range w.runs {
			j := s.jobs[id.Job]
			step, found := s.stepOf(id)
			if found && !step.Lasting && !j.isLate(now) {
				s.survey.work += s.survey.of(step, s.left(r, step, now), 1)
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
		for i := range j.record.Spec.Steps {
			step := &j.record.Spec.Steps[i]
			s.survey.work += s.survey.of(step, s.expect(j, step), step.Count)
			s.survey.starts += step.Count
		}
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
			s.survey.work += s.survey.of(spec, s.expect(j, spec), len(step.idle))
			s.survey.starts += len(step.idle)
		}
	}
}

// of returns what tasks of a step take, in instances for a time.
func (v *survey) of(step *job.Step, takes time.Duration, count int) time.Duration {
	return time.Duration(step.Charge().Share(v.each) * float64(count) * float64(takes))
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
