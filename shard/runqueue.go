package shard

import "iter"

// runQueue is a set of runs in the order in which they were added.
type runQueue struct {
	// list holds the runs in order, also those that were removed since it was last walked. added holds
	// the number under which a run that was not removed is in list.
	list  []queuedRun
	added map[*run]int64
	last  int64
}

// queuedRun is an element of a runQueue.
type queuedRun struct {
	run    *run
	number int64
}

// add adds a run at the end, unless the queue holds it.
func (q *runQueue) add(r *run) {
	if _, found := q.added[r]; found {
		return
	}
	if q.added == nil {
		q.added = make(map[*run]int64)
	}
	q.last++
	q.added[r] = q.last
	q.list = append(q.list, queuedRun{
		run:    r,
		number: q.last,
	})
}

// remove removes a run.
func (q *runQueue) remove(r *run) {
	delete(q.added, r)
}

// len returns the number of runs.
func (q *runQueue) len() int {
	return len(q.added)
}

// holds reports whether an element was not removed.
func (q *runQueue) holds(e queuedRun) bool {
	return q.added[e.run] == e.number
}

// all returns the runs in order. Runs may be added and removed meanwhile; one that is added is not
// returned.
func (q *runQueue) all() iter.Seq[*run] {
	return func(yield func(*run) bool) {
		kept := q.list[:0]
		for _, e := range q.list {
			if q.holds(e) {
				kept = append(kept, e)
			}
		}
		clear(q.list[len(kept):])
		q.list = kept
		for _, e := range kept {
			if q.holds(e) && !yield(e.run) {
				return
			}
		}
	}
}
