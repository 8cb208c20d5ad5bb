package shard

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/quota"
)

// Quota is what this service may use of an organisation's limit.
type Quota struct {
	Share quota.Share
	Limit job.Room

	// Inherited is what owners of the service before this one may have running at the most.
	Inherited job.Room
}

// Usage is what this service uses of an organisation's limit.
type Usage struct {
	Organisation string

	// Used is what may run, by what this owner has started and seen, and what it has not seen
	// of owners before. Waiting is what could start if the quota allowed it.
	Used    job.Room
	Waiting job.Room
}

// usage is what is known of one organisation's tasks.
type usage struct {
	// used is what runs take, found what was seen of the runs of owners before, whether or not
	// they have ended since.
	used  job.Room
	found job.Room

	// waiting is what the quota kept from starting when it was last looked at.
	waiting job.Room
}

// unseen is where owners before may have something running that this one has not seen.
type unseen struct {
	// any says that there is such a worker; room is what all of them have, unless unknown says
	// that one's is not known.
	any     bool
	unknown bool
	room    job.Room
}

// Usages returns what the service uses of each organisation's limit, in order of their names.
func (s *Shard) Usages() []Usage {
	list := make([]Usage, 0, len(s.usages))
	for name, u := range s.usages {
		held := u.used
		if q, bounded := s.quotaOf(name); bounded {
			held = held.Add(s.hidden(u, q))
		}
		list = append(list, Usage{
			Organisation: name,
			Used:         held,
			Waiting:      u.waiting,
		})
		if u.used == (job.Room{}) && u.waiting == (job.Room{}) && !s.unseen.any {
			delete(s.usages, name)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Organisation < list[b].Organisation })
	return list
}

// quotaOf returns an organisation's quota; false where it has no limit.
func (s *Shard) quotaOf(organisation string) (Quota, bool) {
	if organisation == "" || s.opts.Quota == nil {
		return Quota{}, false
	}
	return s.opts.Quota(organisation)
}

// usageOf returns what is known of an organisation's tasks.
func (s *Shard) usageOf(organisation string) *usage {
	u, found := s.usages[organisation]
	if !found {
		u = &usage{}
		s.usages[organisation] = u
	}
	return u
}

// chargeQuota notes that a run counts against the quota of its organisation.
func (s *Shard) chargeQuota(r *run, organisation string, need job.Room) {
	r.organisation = organisation
	r.need = need
	if organisation == "" {
		return
	}
	u := s.usageOf(organisation)
	u.used = u.used.Add(need)
	if r.found {
		u.found = u.found.Add(need)
	}
}

// releaseQuota notes that a run has ended.
func (s *Shard) releaseQuota(r *run) {
	if r.organisation != "" {
		u := s.usageOf(r.organisation)
		u.used = u.used.Sub(r.need)
	}
}

// lookForUnseen notes where something of owners before may run unseen, and forgets what the
// quotas kept from starting.
func (s *Shard) lookForUnseen(now time.Time) {
	s.unseen = unseen{}
	for _, w := range s.workers {
		if w.unsized == 0 && (w.known || !now.Before(w.blindUntil) || (w.mayRun != nil && len(w.mayRun) == 0)) {
			continue
		}
		s.unseen.any = true
		s.unseen.unknown = s.unseen.unknown || w.reg.Capacity == (job.Room{})
		s.unseen.room = s.unseen.room.Add(w.reg.Capacity)
	}
	for _, u := range s.usages {
		u.waiting = job.Room{}
	}
}

// hidden returns what owners before may have running of an organisation that this one has not
// seen: what they were allowed, less what was found, and no more than there is room for.
func (s *Shard) hidden(u *usage, q Quota) job.Room {
	if !s.unseen.any {
		return job.Room{}
	}
	hidden := q.Inherited.Sub(u.found).AtLeast(job.Room{})
	if s.unseen.unknown {
		return hidden
	}
	return hidden.AtMost(s.unseen.room)
}

// withinQuota reports whether so many more tasks of a step may start by the quota of their
// organisation. What may not is noted as waiting for it. A task that is larger than the whole
// quota starts where nothing else of the organisation runs.
func (s *Shard) withinQuota(j *jobState, spec *job.Step, count int) bool {
	q, bounded := s.quotaOf(j.record.Organisation)
	if !bounded {
		return true
	}
	u := s.usageOf(j.record.Organisation)
	held := u.used.Add(s.hidden(u, q))
	asked := times(spec.Need, count)
	if quota.ShareOf(held.Add(asked), q.Limit) <= q.Share {
		return true
	}
	if count == 1 && held == (job.Room{}) && q.Share >= quota.Whole {
		return true
	}
	return false
}

// exceedsQuota reports whether a job has a gang that is larger than the whole limit of its
// organisation: its tasks only start together, and so never would. Other tasks start one at a
// time.
func (s *Shard) exceedsQuota(record Record) bool {
	q, bounded := s.quotaOf(record.Organisation)
	if !bounded {
		return false
	}
	for i := range record.Spec.Steps {
		step := &record.Spec.Steps[i]
		if step.Gang && quota.ShareOf(times(step.Need, step.Count), q.Limit) > quota.Whole {
			s.opts.Report("gang exceeds its organisation's limit", "job", record.ID, "organisation", record.Organisation,
				"step", i, "tasks", step.Count, "limit_cpu", q.Limit.MilliCPU)
			return true
		}
	}
	return false
}

// waitForQuota notes that tasks of a step wait for the quota of their organisation.
func (s *Shard) waitForQuota(j *jobState, spec *job.Step, count int) {
	u := s.usageOf(j.record.Organisation)
	u.waiting = u.waiting.Add(times(spec.Need, count))
}
