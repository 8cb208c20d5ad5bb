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

	// Inherited is the most that tasks started by previous owners of the service may use.
	Inherited job.Room
}

// Usage is the part of an organisation's limit that this service uses and could use.
type Usage struct {
	Organisation string

	// Used covers the runs that this owner has started or seen, and the runs of previous owners
	// that it may not have seen yet. Waiting covers the tasks that only the quota keeps from
	// starting.
	Used    job.Room
	Waiting job.Room
}

// usage is what the runs and waiting tasks of one organisation take of its limit.
type usage struct {
	// used covers the known runs. found covers the runs of previous owners that this owner has
	// seen, including those that have ended since.
	used  job.Room
	found job.Room

	// waiting covers the tasks that the quota kept from starting in the last placement.
	waiting job.Room
}

// unseen describes the workers on which previous owners may have runs that this owner has
// not seen.
type unseen struct {
	// any says that there is such a worker. room is the total capacity of all of them, not valid
	// if unknown says that the capacity of one is not known.
	any     bool
	unknown bool
	room    job.Room
}

// Usages returns the usage of each organisation, sorted by name.
func (s *Shard) Usages() []Usage {
	list := make([]Usage, 0, len(s.usages))
	for name, u := range s.usages {
		held := u.used
		if q, bounded := s.quotaOf(name); bounded {
			held = held.Add(s.unseenUsage(u, q))
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

// quotaOf returns an organisation's quota, or false if it has no limit.
func (s *Shard) quotaOf(organisation string) (Quota, bool) {
	if organisation == "" || s.opts.Quota == nil {
		return Quota{}, false
	}
	return s.opts.Quota(organisation)
}

// usageOf returns the usage of an organisation; it adds an empty one if there is none.
func (s *Shard) usageOf(organisation string) *usage {
	u, found := s.usages[organisation]
	if !found {
		u = &usage{}
		s.usages[organisation] = u
	}
	return u
}

// chargeQuota counts a run against the quota of its organisation.
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

// releaseQuota stops counting a run against the quota of its organisation.
func (s *Shard) releaseQuota(r *run) {
	if r.organisation != "" {
		u := s.usageOf(r.organisation)
		u.used = u.used.Sub(r.need)
	}
}

// refreshUnseen determines the workers that may have unobserved runs of previous owners, and resets
// the waiting usage of all organisations before a placement.
func (s *Shard) refreshUnseen(now time.Time) {
	s.unseen = unseen{}
	for _, w := range s.workers {
		if w.unsized == 0 && (!w.isUnobserved(now) || (w.unobservedTasks != nil && len(w.unobservedTasks) == 0)) {
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

// unseenUsage returns the most that unobserved runs of previous owners may use of an organisation's
// limit: what these owners were allowed, less what was found, and at most the capacity of the
// workers that may have unobserved runs.
func (s *Shard) unseenUsage(u *usage, q Quota) job.Room {
	if !s.unseen.any {
		return job.Room{}
	}
	unseenUsage := q.Inherited.Sub(u.found).AtLeast(job.Room{})
	if s.unseen.unknown {
		return unseenUsage
	}
	return unseenUsage.AtMost(s.unseen.room)
}

// withinQuota reports whether the quota of the organisation lets count more tasks of a step start.
// A task that is larger than the whole limit may start if nothing else of the organisation runs and
// the service holds the whole limit.
func (s *Shard) withinQuota(j *jobState, spec *job.Step, count int) bool {
	q, bounded := s.quotaOf(j.record.Organisation)
	if !bounded {
		return true
	}
	u := s.usageOf(j.record.Organisation)
	held := u.used.Add(s.unseenUsage(u, q))
	asked := scale(spec.Need, count)
	if quota.ShareOf(held.Add(asked), q.Limit) <= q.Share {
		return true
	}
	if count == 1 && held == (job.Room{}) && q.Share >= quota.Whole {
		return true
	}
	return false
}

// exceedsQuota reports whether a job has a gang that is larger than the whole limit of its
// organisation. The tasks of a gang only start together, so such a gang would never start. Other
// tasks start one at a time.
func (s *Shard) exceedsQuota(record Record) bool {
	q, bounded := s.quotaOf(record.Organisation)
	if !bounded {
		return false
	}
	for i := range record.Spec.Steps {
		step := &record.Spec.Steps[i]
		if step.Gang && quota.ShareOf(scale(step.Need, step.Count), q.Limit) > quota.Whole {
			s.opts.LogEvent("gang exceeds its organisation's limit", "job", record.ID, "organisation", record.Organisation,
				"step", i, "tasks", step.Count, "limit_cpu", q.Limit.MilliCPU)
			return true
		}
	}
	return false
}

// waitForQuota records that count tasks of a step wait for the quota of their organisation.
func (s *Shard) waitForQuota(j *jobState, spec *job.Step, count int) {
	u := s.usageOf(j.record.Organisation)
	u.waiting = u.waiting.Add(scale(spec.Need, count))
}
