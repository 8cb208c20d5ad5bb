package shard

// Held is what a shard keeps in memory of its jobs.
type Held struct {
	// Jobs counts all jobs, also those that have ended and are not forgotten yet.
	Jobs int

	// Occurrences counts the open occurrences, Tasks the tasks with a state of their own.
	Occurrences int
	Tasks       int
}

// Held returns what the shard keeps in memory of its jobs.
func (s *Shard) Held() Held {
	held := Held{
		Jobs: len(s.jobs),
	}
	for _, j := range s.jobs {
		held.Occurrences += len(j.occurrences)
		for _, o := range j.occurrences {
			for _, step := range o.steps {
				held.Tasks += len(step.states)
			}
		}
	}
	return held
}
