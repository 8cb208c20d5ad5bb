package place

import "sort"

// findFaulty finds jobs that fail on several workers and workers on which several
// jobs fail. A failure counts against a job only if the worker is not faulty, and
// against a worker only if the job has failed on no other worker.
func (p Pool) findFaulty(steps *Steps) {
	only := make(map[string]int)
	for i := range p.Jobs {
		job := &p.Jobs[i]
		if len(job.FailedOn) != 1 {
			continue
		}
		for worker := range job.FailedOn {
			only[worker]++
		}
	}
	bad := make(map[string]bool)
	for worker, count := range only {
		if count >= minFailedJobs {
			bad[worker] = true
			steps.TakeOut = append(steps.TakeOut, worker)
		}
	}
	sort.Strings(steps.TakeOut)
	for i := range p.Jobs {
		job := &p.Jobs[i]
		if len(job.LostOn) >= minFailedWorkers {
			steps.SetAside[job.ID] = ReasonLosesWorkers
			continue
		}
		good := 0
		for worker := range job.FailedOn {
			if !bad[worker] {
				good++
			}
		}
		if good >= minFailedWorkers {
			steps.SetAside[job.ID] = ReasonFails
		}
	}
}
