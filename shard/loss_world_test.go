package shard_test

import (
	"time"

	"lemonstream.dev/lemonstream/job"
)

const (
	// heartbeatInterval is how often a worker writes its registration.
	heartbeatInterval = 1500 * time.Millisecond

	// lingerTime is how long a worker that has announced its end goes on serving.
	lingerTime = 2 * time.Second
)

// cutOff partitions a worker from the owners and from the store for the given time. It goes on
// running. Its registration lapses after three heartbeats, and is back with the next one.
func (w *world) cutOff(f *fakeWorker, span time.Duration) {
	if f.down || f.partitioned {
		return
	}
	incarnation := f.restarts
	f.partitioned = true
	w.after(registrationTTL, func() {
		if f.partitioned && f.restarts == incarnation {
			f.unlisted = true
			w.sendRegistrations()
		}
	})
	w.after(span, func() { f.partitioned = false })
	w.after(span+heartbeatInterval, func() {
		if f.unlisted && !f.down && !f.partitioned {
			f.unlisted = false
			w.sendRegistrations()
		}
	})
}

// leave ends a worker in an orderly way: it drains, or only removes its registration if silent is
// set, serves on for a while, and ends. Another worker answers at its address then.
func (w *world) leave(f *fakeWorker, silent bool) {
	if f.down || f.reg.Draining || f.unlisted {
		return
	}
	f.reg.Draining = !silent
	f.reg.Remaining = lingerTime
	f.unlisted = silent
	w.sendRegistrations()
	w.after(lingerTime, func() { w.endOrderly(f) })
}

// takeInstance ends a worker at once, as an order to its instance does, and tells the owner after
// the given delay. Another worker answers at the address after the move.
func (w *world) takeInstance(f *fakeWorker, notice time.Duration) {
	if f.down {
		return
	}
	name := f.reg.Incarnation().String()
	f.endAtOnce()
	w.after(registrationTTL, func() {
		f.crashed = false
		f.unlisted = true
		w.sendRegistrations()
	})
	w.after(testMoveTime, func() { w.replaceAddress(f) })
	for told := notice; told < notice+endedRetention; told += planInterval {
		w.after(told, func() {
			if !w.ownerless {
				w.core.RemoveTaken([]string{name}, w.now)
			}
		})
	}
}

// endOrderly ends a worker that has announced its end.
func (w *world) endOrderly(f *fakeWorker) {
	if f.down {
		return
	}
	f.down = true
	f.unlisted = true
	f.runs = make(map[job.TaskID]*fakeRun)
	w.replaceAddress(f)
}

// replaceAddress lets another worker answer at the address of an ended one.
func (w *world) replaceAddress(f *fakeWorker) {
	f.replaced = true
	w.addWorker(w.nextWorkerID(), f.reg.Rack).reg.Address = f.reg.Address
	w.sendRegistrations()
}

// busyOrAny returns the sorted ids of the workers that run something, or of all workers if none does.
func (w *world) busyOrAny() []string {
	var list []string
	for _, id := range w.workerIDs() {
		if f := w.workers[id]; !f.down && !f.partitioned && len(f.runs) > 0 {
			list = append(list, id)
		}
	}
	if len(list) == 0 {
		return w.workerIDs()
	}
	return list
}
