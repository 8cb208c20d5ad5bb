package overload

import (
	"container/heap"
	"sort"
	"time"
)

// slot is the time for which a planner's share of the room stands.
const slot = 50 * time.Millisecond

// owed is the work of a job that a planner has yet to do.
type owed struct {
	due  time.Time
	left time.Duration
}

// byDue is a heap of what is owed, the earliest due first.
type byDue []*owed

// Len implements heap.Interface.
func (h byDue) Len() int { return len(h) }

// Less implements heap.Interface.
func (h byDue) Less(i, j int) bool { return h[i].due.Before(h[j].due) }

// Pop implements heap.Interface.
func (h *byDue) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Push implements heap.Interface.
func (h *byDue) Push(one any) { *h = append(*h, one.(*owed)) }

// Swap implements heap.Interface.
func (h byDue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// result adds up what the callers got.
func (w *world) result(instances float64) Result {
	var r Result
	total := time.Duration(0)
	tries := 0
	var waits []time.Duration
	for _, c := range w.callers {
		total += c.work
		tries += c.tries
		if !c.started.IsZero() {
			waits = append(waits, c.started.Sub(c.arrived))
		}
		took := c.ended.Sub(c.arrived)
		switch {
		case c.refused:
			r.Refused += c.work.Seconds()
		case c.ended.IsZero():
		case took <= c.limit:
			r.Served += c.work.Seconds()
		case took <= 3*c.limit:
			r.Late += c.work.Seconds()
		}
	}
	r.Served /= total.Seconds()
	r.Late /= total.Seconds()
	r.Refused /= total.Seconds()
	r.Tries = float64(tries) / float64(len(w.callers))
	r.Bound = w.bound(instances) / total.Seconds()
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	r.Wait50 = waits[len(waits)/2]
	r.Wait95 = waits[len(waits)*95/100]
	return r
}

// bound returns the work in seconds that a planner could do in time who may split jobs at
// will and knows the whole day: the room goes to what is due first, and what can't be done
// is dropped. Nothing serves more.
func (w *world) bound(instances float64) float64 {
	pending := &byDue{}
	done := time.Duration(0)
	next := 0
	for now := w.callers[0].arrived; next < len(w.callers) || pending.Len() > 0; now = now.Add(slot) {
		for next < len(w.callers) && !w.callers[next].arrived.After(now) {
			c := w.callers[next]
			heap.Push(pending, &owed{
				due:  c.arrived.Add(c.limit),
				left: c.work,
			})
			next++
		}
		room := time.Duration(instances * float64(slot))
		for room > 0 && pending.Len() > 0 {
			first := (*pending)[0]
			spent := min(room, first.left)
			if first.due.Before(now) {
				spent = 0
				first.left = 0
			}
			room -= spent
			first.left -= spent
			done += spent
			if first.left == 0 {
				heap.Pop(pending)
			}
		}
	}
	return done.Seconds()
}
