package shard_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/pool"
)

// TestRepeatedMaintenanceOrderDoesNotEndNextWorker covers an order for the maintenance of an instance
// that is carried out and gets no answer. The next worker of the instance is closed, and the order is
// given again with its name. The platform answers that it is done already, which does not end that
// worker. The next owner, which the instance controller can't reach for a while, uses it, and is told
// then that its instance was taken.
func TestRepeatedMaintenanceOrderDoesNotEndNextWorker(t *testing.T) {
	is := is.New(t)
	w := newOrderedWorld(3, 1)
	h := newInstanceController(w, 0)
	h.announceDelay = 2 * tick
	w.run(200 * time.Millisecond)
	m := h.instances[0]
	wave := &pool.Wave{
		Wave: outside.Wave{
			Number:    1,
			Within:    25 * time.Second,
			AtOnce:    1,
			Instances: []string{m.id},
		},
		Seen: w.now,
		Done: make(map[string]bool),
	}
	h.waves = append(h.waves, wave)
	h.unansweredOrders = true
	h.orders = 1 // Every second order gets no answer.
	w.runUntil(t, func() bool { return h.takenDown > 0 })
	h.unansweredOrders = false
	w.submit("before", step(40)) // The next worker is in use before the order is given again.
	w.runUntil(t, func() bool { return m.worker != nil })
	next := m.worker
	w.runUntil(t, func() bool { return wave.Done[m.id] || slices.Contains(w.released, next.reg.ID) })
	w.run(3 * tick) // The order, if there is one, is sent.
	w.takeOver()
	h.cutOff = true
	w.run(100 * time.Millisecond)
	long := step(12)
	long.Estimate = 6 * time.Second
	w.submit("a", long)
	w.run(3 * time.Second)
	is.True(len(next.runs) > 0)
	h.cutOff = false
	w.run(12 * time.Second)
	w.check(t)
}
