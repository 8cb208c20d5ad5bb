// Package place assigns jobs to the workers of a pool. It does no I/O: one call
// takes the state of the whole pool and returns the next steps. An urgent job that
// finds no free worker starts at once by checkpointing other jobs. Running jobs are
// not moved otherwise, and every job finishes in the end.
package place

import (
	"sort"
	"time"

	"lemonstream.dev/lemonstream/store"
)

// Reasons for setting a job aside.
const (
	// ReasonFails means that the job failed on several workers that are not faulty.
	ReasonFails Reason = "fails-on-several-workers"

	// ReasonLosesWorkers means that several workers ended while they ran the job.
	ReasonLosesWorkers Reason = "its-workers-end"

	// ReasonNeverFits means that the job exceeds the size of every worker of the pool.
	ReasonNeverFits Reason = "no-worker-can-hold-it"
)

const (
	// minFailedWorkers is the number of distinct workers on which a job must fail, or
	// that must end while they run it, before the job is set aside. Workers that are
	// faulty themselves do not count as failures. Without this limit, a job that
	// crashes its workers would take down the whole pool, one worker after the other.
	minFailedWorkers = 3

	// minFailedJobs is the number of distinct jobs that must fail on a worker, and on
	// no other worker, before the worker counts as faulty.
	minFailedJobs = 3

	// protectAfter is the number of checkpoints after which a job is checkpointed
	// again only if an urgent job would find no other place.
	protectAfter = 3
)

// Job is a job of the pool.
type Job struct {
	ID   string
	Team string

	// Urgent jobs start at once; the others wait in the queue.
	Urgent bool

	// Size is the resources that the job takes: the declared size until usage has
	// been observed, then the estimate from that usage.
	Size Size

	// Waiting is the time at which the job was queued or last checkpointed.
	Waiting time.Time

	// Worker is the ID of the worker that runs the job; empty while the job waits.
	Worker string

	// Checkpoints counts how often the job was checkpointed.
	Checkpoints int

	// FailedOn is the set of workers on which the job failed.
	FailedOn map[string]bool

	// LostOn is the set of worker incarnations that ended while the job ran there.
	LostOn map[string]bool
}

// Pool is the state of a pool: its workers, jobs and quotas.
type Pool struct {
	Workers []Worker
	Jobs    []Job

	// Quotas limits the resources that a team's jobs may take together. A team
	// without an entry is not limited.
	Quotas map[string]Size
}

// Reason says why a job is set aside.
type Reason string

// Size is the resources that a job takes or a worker has.
type Size store.Resources

// Steps are the actions to carry out next. Checkpoints come before starts.
type Steps struct {
	// Start maps the ID of a job to the worker to start it on.
	Start map[string]string

	// Checkpoint lists the jobs to checkpoint and put back in the queue.
	Checkpoint []string

	// SetAside maps the ID of a job to the reason why it will not be tried again.
	SetAside map[string]Reason

	// TakeOut lists the faulty workers, sorted. They get no new jobs.
	TakeOut []string
}

// Worker is a worker of the pool.
type Worker struct {
	ID   string
	Size Size

	// Leaving means that the worker gets no new jobs.
	Leaving bool
}

// slot is a worker with its free resources.
type slot struct {
	worker Worker
	free   Size

	// jobs are the jobs that run on the worker. They are filled in only when a job
	// must be displaced, which is rare.
	jobs []*Job
}

// Next returns the next steps.
func (p Pool) Next() Steps {
	steps := Steps{
		Start:    make(map[string]string),
		SetAside: make(map[string]Reason),
	}
	p.findFaulty(&steps)
	slots, byID := p.slots(steps.TakeOut)
	filled := false
	used := p.used()
	for _, job := range p.queue() {
		if _, gone := steps.SetAside[job.ID]; gone {
			continue
		}
		if !p.fitsAnyWorker(job) {
			steps.SetAside[job.ID] = ReasonNeverFits
			continue
		}
		quota, bounded := p.Quotas[job.Team]
		if bounded && !used[job.Team].plus(job.Size).within(quota) {
			continue
		}
		chosen := bestFit(slots, job)
		if chosen == nil && job.Urgent {
			if !filled {
				p.fillJobs(byID)
				filled = true
			}
			chosen = p.makeRoom(slots, job, &steps)
		}
		if chosen == nil {
			continue
		}
		chosen.free = chosen.free.minus(job.Size)
		used[job.Team] = used[job.Team].plus(job.Size)
		steps.Start[job.ID] = chosen.worker.ID
	}
	return steps
}

// EstimateSize returns the size to plan with for a job with the given declared size
// and observed peak usage. Observed usage replaces the declared size, plus an eighth
// because usage is reported late. The result is at least a twentieth of the declared
// size. Accelerators are always as declared.
func EstimateSize(declared, seen Size) Size {
	estimate := func(declared, seen int64) int64 {
		if seen == 0 {
			return declared
		}
		return max(seen+seen/8, declared/20)
	}
	return Size{
		Milliprocessors: estimate(declared.Milliprocessors, seen.Milliprocessors),
		Memory:          estimate(declared.Memory, seen.Memory),
		Accelerators:    declared.Accelerators,
	}
}

// bestFit returns the slot with the least free resources after placing the job, so
// that large free slots remain. A worker on which the job failed is not tried again.
// A job that lost a worker goes to the slot with the most free resources instead: if
// it were packed with others and crashed its workers again, they would lose as many
// workers as the job and be set aside as well.
func bestFit(slots []*slot, job *Job) *slot {
	var chosen *slot
	var minLeft float64
	for _, s := range slots {
		if s.worker.Leaving || job.FailedOn[s.worker.ID] || !job.Size.within(s.free) {
			continue
		}
		left := s.free.minus(job.Size).part(s.worker.Size)
		if len(job.LostOn) > 0 {
			left = -left
		}
		if chosen == nil || left < minLeft {
			chosen = s
			minLeft = left
		}
	}
	return chosen
}

// fitsAnyWorker reports whether the job fits on at least one worker when it is empty.
func (p Pool) fitsAnyWorker(job *Job) bool {
	for _, worker := range p.Workers {
		if job.Size.within(worker.Size) {
			return true
		}
	}
	return false
}

// makeRoom picks the worker on which the fewest jobs must be checkpointed to fit an
// urgent job, and adds those checkpoints to steps. Urgent jobs are never
// checkpointed. Jobs that reached protectAfter are checkpointed only if no other
// choice fits. makeRoom returns nil if the job fits nowhere.
func (p Pool) makeRoom(slots []*slot, job *Job, steps *Steps) *slot {
	for _, protect := range []bool{true, false} {
		var chosen *slot
		var victims []*Job
		for _, s := range slots {
			if s.worker.Leaving || job.FailedOn[s.worker.ID] || !job.Size.within(s.worker.Size) {
				continue
			}
			some, enough := s.victims(job, protect)
			if enough && (chosen == nil || len(some) < len(victims)) {
				chosen = s
				victims = some
			}
		}
		if chosen == nil {
			continue
		}
		for _, victim := range victims {
			steps.Checkpoint = append(steps.Checkpoint, victim.ID)
			chosen.remove(victim)
		}
		return chosen
	}
	return nil
}

// queue returns the waiting jobs in order: urgent jobs first, then by waiting time,
// longest first, so that no job starves.
func (p Pool) queue() []*Job {
	var waiting []*Job
	for i := range p.Jobs {
		if p.Jobs[i].Worker == "" {
			waiting = append(waiting, &p.Jobs[i])
		}
	}
	sort.SliceStable(waiting, func(i, j int) bool {
		if waiting[i].Urgent != waiting[j].Urgent {
			return waiting[i].Urgent
		}
		return waiting[i].Waiting.Before(waiting[j].Waiting)
	})
	return waiting
}

// slots returns the workers with their free resources, as a list and by worker ID.
// Workers in bad, which must be sorted, are marked as leaving.
func (p Pool) slots(bad []string) (slots []*slot, byID map[string]*slot) {
	byID = make(map[string]*slot, len(p.Workers))
	slots = make([]*slot, 0, len(p.Workers))
	held := make([]slot, len(p.Workers))
	for number, worker := range p.Workers {
		if i := sort.SearchStrings(bad, worker.ID); i < len(bad) && bad[i] == worker.ID {
			worker.Leaving = true
		}
		s := &held[number]
		s.worker = worker
		s.free = worker.Size
		byID[worker.ID] = s
		slots = append(slots, s)
	}
	for i := range p.Jobs {
		job := &p.Jobs[i]
		if s := byID[job.Worker]; s != nil {
			s.free = s.free.minus(job.Size)
		}
	}
	return slots, byID
}

// fillJobs adds the running jobs to the slots of their workers.
func (p Pool) fillJobs(byID map[string]*slot) {
	for i := range p.Jobs {
		job := &p.Jobs[i]
		if s := byID[job.Worker]; s != nil {
			s.jobs = append(s.jobs, job)
		}
	}
}

// used returns the resources taken by running jobs, for each team with a quota.
func (p Pool) used() map[string]Size {
	used := make(map[string]Size)
	if len(p.Quotas) == 0 {
		return used
	}
	for i := range p.Jobs {
		job := &p.Jobs[i]
		if _, bounded := p.Quotas[job.Team]; bounded && job.Worker != "" {
			used[job.Team] = used[job.Team].plus(job.Size)
		}
	}
	return used
}

// remove removes a job from the slot and frees its resources.
func (s *slot) remove(job *Job) {
	s.free = s.free.plus(job.Size)
	for i, other := range s.jobs {
		if other == job {
			s.jobs = append(s.jobs[:i], s.jobs[i+1:]...)
			return
		}
	}
}

// victims returns the jobs to checkpoint so that job fits, those with the fewest
// checkpoints first, and whether that is enough. With protect set, jobs that reached
// protectAfter are left out.
func (s *slot) victims(job *Job, protect bool) (victims []*Job, enough bool) {
	order := append([]*Job(nil), s.jobs...)
	sort.SliceStable(order, func(i, j int) bool { return order[i].Checkpoints < order[j].Checkpoints })
	free := s.free
	for _, other := range order {
		if job.Size.within(free) {
			break
		}
		if other.Urgent || (protect && other.Checkpoints >= protectAfter) {
			continue
		}
		victims = append(victims, other)
		free = free.plus(other.Size)
	}
	return victims, job.Size.within(free)
}

func (s Size) minus(other Size) Size {
	return Size{
		Milliprocessors: s.Milliprocessors - other.Milliprocessors,
		Memory:          s.Memory - other.Memory,
		Accelerators:    s.Accelerators - other.Accelerators,
	}
}

// part returns the size as a fraction of whole, summed over the resources that
// whole has.
func (s Size) part(whole Size) float64 {
	share := func(part, whole int64) float64 {
		if whole == 0 {
			return 0
		}
		return float64(part) / float64(whole)
	}
	return share(s.Milliprocessors, whole.Milliprocessors) + share(s.Memory, whole.Memory) + share(s.Accelerators, whole.Accelerators)
}

func (s Size) plus(other Size) Size {
	return Size{
		Milliprocessors: s.Milliprocessors + other.Milliprocessors,
		Memory:          s.Memory + other.Memory,
		Accelerators:    s.Accelerators + other.Accelerators,
	}
}

// within reports whether the size fits into room in every resource.
func (s Size) within(room Size) bool {
	return s.Milliprocessors <= room.Milliprocessors && s.Memory <= room.Memory && s.Accelerators <= room.Accelerators
}
