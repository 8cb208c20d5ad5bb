package shard

import (
	"slices"
	"time"
)

const (
	// largeJobTasks is the number of tasks that are due from which on a job is large.
	largeJobTasks = 1000

	// minRunShare is the number of runs that a large job has before any other job that waits.
	minRunShare = 8
)

// runShare bounds the runs of large jobs while other jobs of the same priority wait. Without it, a large
// job that was on time for minutes, such as one with a long chain of steps, took all room again and
// again, and small jobs that had become late did not begin.
type runShare struct {
	// large holds the large jobs that wait, runs is how many runs each of them has before others
	// come first.
	large map[*jobState]bool
	runs  int
}

// newRunShare returns the share of the large jobs among the groups; nil if there are none.
func (s *Shard) newRunShare(groups []group, now time.Time) *runShare {
	if !slices.ContainsFunc(groups, func(g group) bool { return g.job.mayBeLarge }) {
		return nil
	}
	share := &runShare{
		large: make(map[*jobState]bool),
	}
	jobs := make(map[*jobState]bool)
	for _, g := range groups {
		if jobs[g.job] {
			continue
		}
		jobs[g.job] = true
		if g.job.isLarge(now) {
			share.large[g.job] = true
		}
	}
	if len(share.large) == 0 || len(jobs) == 1 {
		return nil
	}
	runs := 0
	for _, w := range s.workers {
		runs += len(w.runs)
	}
	share.runs = max(minRunShare, runs/len(jobs))
	return share
}

// isExceeded reports whether a group belongs to a large job that has its share. Long-running steps have
// none: they come first in any case.
func (r *runShare) isExceeded(g group) bool {
	return r != nil && r.large[g.job] && g.job.activeRuns >= r.runs && !g.job.record.Spec.Steps[g.step].Lasting
}

// isLarge reports whether many tasks of a job are due that have not ended.
func (j *jobState) isLarge(now time.Time) bool {
	return j.mayBeLarge && j.dueTasks(now) >= largeJobTasks
}
