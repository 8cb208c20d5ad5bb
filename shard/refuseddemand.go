package shard

import (
	"container/list"
	"time"

	"lemonstream.dev/lemonstream/job"
)

const (
	// maxRefusedDemand bounds the jobs whose demand is kept although they were not accepted. It
	// equals the bound of the jobs that wait for their record.
	maxRefusedDemand = MaxSubmitted

	// refusedDemandTTL is how long the demand of a job counts after the job was last offered.
	// Callers try again within 0.2 to 1 s, so a job that is not offered for longer was given up.
	refusedDemandTTL = 1500 * time.Millisecond
)

// RefusedStep is what the tasks of one step of a refused job need together.
type RefusedStep struct {
	Need  job.Room
	Label string

	// Ready says that the step depends on no other step.
	Ready bool

	// Spread is the number of workers that the step needs because of its limit of tasks per
	// worker; 0 if it has none.
	Spread int

	// LateAfter is the last time at which the step could start for its job to end in time; zero
	// if the job has no deadline.
	LateAfter time.Time
}

// RefusedDemand holds the demand of jobs that an owner did not accept because it could not write.
// Their callers offer them again, so capacity for them is of use as soon as the store accepts
// writes. Each job counts once, however often it is offered. The zero value is ready to use.
type RefusedDemand struct {
	// byID holds the elements of recent, whose values are *refusedJob. recent is in the order of
	// the last offers, the oldest first.
	byID   map[string]*list.Element
	recent list.List
}

// refusedJob is one job that was not accepted.
type refusedJob struct {
	id        string
	offeredAt time.Time
	steps     []RefusedStep
}

// Note records that a job was offered and not accepted. If the job is noted already, only the time
// of its last offer changes. If too many jobs are noted, the one with the oldest offer is dropped.
func (d *RefusedDemand) Note(id string, steps []RefusedStep, now time.Time) {
	d.expire(now)
	if known, found := d.byID[id]; found {
		if noted, ok := known.Value.(*refusedJob); ok {
			noted.offeredAt = now
		}
		d.recent.MoveToBack(known)
		return
	}
	if len(d.byID) >= maxRefusedDemand {
		d.remove(d.recent.Front())
	}
	if d.byID == nil {
		d.byID = make(map[string]*list.Element)
	}
	d.byID[id] = d.recent.PushBack(&refusedJob{
		id:        id,
		offeredAt: now,
		steps:     steps,
	})
}

// Forget drops a job that was accepted or that certainly does not run.
func (d *RefusedDemand) Forget(id string) {
	if known, found := d.byID[id]; found {
		d.remove(known)
	}
}

// Count returns the number of jobs that count now.
func (d *RefusedDemand) Count(now time.Time) int {
	d.expire(now)
	return len(d.byID)
}

// addTo adds the demand to a load.
func (d *RefusedDemand) addTo(load *Load, now time.Time) {
	d.expire(now)
	for e := d.recent.Front(); e != nil; e = e.Next() {
		noted, ok := e.Value.(*refusedJob)
		if !ok {
			continue
		}
		for _, step := range noted.steps {
			step.addTo(load, now)
		}
	}
}

func (r RefusedStep) addTo(load *Load, now time.Time) {
	load.Spread = max(load.Spread, r.Spread)
	late := !r.LateAfter.IsZero() && now.After(r.LateAfter)
	switch {
	case r.Label != "":
		load.Labelled[r.Label] = load.Labelled[r.Label].Add(r.Need)
	case r.Ready:
		load.Waiting = load.Waiting.Add(r.Need)
		if late {
			load.Late = load.Late.Add(r.Need)
		}
	default:
		load.Coming = load.Coming.Add(r.Need)
		if late {
			load.LateComing = load.LateComing.Add(r.Need)
		}
	}
}

// expire drops the jobs that were last offered more than refusedDemandTTL ago.
func (d *RefusedDemand) expire(now time.Time) {
	for e := d.recent.Front(); e != nil; e = d.recent.Front() {
		if noted, ok := e.Value.(*refusedJob); ok && now.Sub(noted.offeredAt) <= refusedDemandTTL {
			return
		}
		d.remove(e)
	}
}

func (d *RefusedDemand) remove(e *list.Element) {
	if noted, ok := d.recent.Remove(e).(*refusedJob); ok {
		delete(d.byID, noted.id)
	}
}

// NoteRefused records that a job was not accepted because this owner can't write. Its demand counts
// in Load until the job is accepted or no longer offered. A job that exceeds its organisation's
// quota can't run whatever capacity there is, and a repeating job that is not due needs none yet.
func (s *Shard) NoteRefused(record Record, now time.Time) {
	if _, known := s.jobs[record.ID]; known || !s.needsCapacity(record, now) {
		return
	}
	s.refusedDemand.Note(record.ID, s.demandOf(record), now)
}

// RefusedJobs returns the number of jobs whose refused demand counts now.
func (s *Shard) RefusedJobs(now time.Time) int {
	return s.refusedDemand.Count(now)
}

// addUnwritten adds the demand of a submitted job whose record is not stored yet. While the store is
// slow or silent that takes seconds, in which capacity can be prepared.
func (s *Shard) addUnwritten(j *jobState, load *Load, now time.Time) {
	if !s.needsCapacity(j.record, now) {
		return
	}
	for _, step := range s.demandOf(j.record) {
		step.addTo(load, now)
	}
}

// needsCapacity reports whether the demand of a job counts that has no stored record.
func (s *Shard) needsCapacity(record Record, now time.Time) bool {
	due := record.Spec.Repeats == 0 || !now.Before(record.Spec.Due(0))
	return due && !s.opts.IgnoreRefused && !s.exceedsQuota(record)
}

// demandOf returns what the steps of a job need that has not started.
func (s *Shard) demandOf(record Record) []RefusedStep {
	policy := record.Policy
	if newest, found := s.opts.Policy(record.Route); found {
		policy = newest
	}
	j := newJob(record, policy)
	timeless := record.Spec.Repeats > 0 || j.hasLongRunningStep()
	steps := make([]RefusedStep, 0, len(record.Spec.Steps))
	for i := range record.Spec.Steps {
		spec := &record.Spec.Steps[i]
		step := RefusedStep{
			Need:  scale(spec.Charge(), spec.Count),
			Label: spec.Label,
			Ready: len(spec.After) == 0,
		}
		if spec.PerWorker > 0 {
			step.Spread = (spec.Count + spec.PerWorker - 1) / spec.PerWorker
		}
		if !timeless {
			step.LateAfter = j.deadline.Add(-s.remainingTime(group{
				job:  j,
				step: i,
			}))
		}
		steps = append(steps, step)
	}
	return steps
}
