package shard_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/link"
)

const (
	// pollBytes and startBytes are the sizes of a poll and of a start order on the wire, without
	// the text of the job.
	pollBytes  = 300
	startBytes = 400

	// startTimeout is how long the owner waits for the answer to a start order.
	startTimeout = 700 * time.Millisecond

	// minLinkBits is the rate of the slowest link of an entry, in bits per second.
	minLinkBits = 2_000_000
)

// wire is a link that sends one message after another.
type wire struct {
	bytesPerSecond int
	freeAt         time.Time

	// unanswered counts messages that were queued for longer than the sender waits for an answer.
	unanswered int
}

// send queues a message and returns how long it takes until the message is sent. A nil wire delays
// nothing.
func (w *wire) send(bytes int, now time.Time) time.Duration {
	if w == nil {
		return 0
	}
	if w.freeAt.Before(now) {
		w.freeAt = now
	}
	w.freeAt = w.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(w.bytesPerSecond))
	return w.freeAt.Sub(now)
}

// simulateDemandBurst simulates a demand burst on a slow link at a service with enough capacity.
// Long-running tasks run, and then several times as many tasks wait as the link can order to start
// in one second. starts bounds the bytes of start orders; nil bounds nothing.
func simulateDemandBurst(t *testing.T, starts *link.Budget) *world {
	t.Helper()
	const workers = 100
	w := newWorld(workers)
	w.wire = &wire{
		bytesPerSecond: minLinkBits / 8,
	}
	w.starts = starts
	w.takeOver()
	w.run(time.Second)
	w.submit("lasting", lasting(20, 1))
	w.run(time.Second)
	text := strings.Repeat("x", 2000)
	for i := range 40 {
		id := fmt.Sprintf("turn-%02d", i)
		record := w.record(id, step(10))
		record.Spec.Text = text
		w.store(record)
		w.core.Accept(record, w.version, true, w.now)
	}
	w.run(12 * time.Second)
	return w
}

// TestDemandBurstOnASlowLinkDoesNotDelayPolls simulates the beginning of a demand burst. No start
// and no poll is queued for so long that it counts as unanswered, and every job of the burst
// completes.
func TestDemandBurstOnASlowLinkDoesNotDelayPolls(t *testing.T) {
	is := is.New(t)
	w := simulateDemandBurst(t, link.StartBudget(minLinkBits))
	w.check(t)
	is.Equal(w.wire.unanswered, 0)
	for i := range 40 {
		is.Equal(w.shown[fmt.Sprintf("turn-%02d", i)], job.Completed)
	}
	is.Equal(w.shown["lasting"], job.Running)
}

// TestDemandBurstOnASlowLinkNeedsABudget checks that the load above needs the budget of start
// orders: without it, messages are queued for too long, which leads to violations as well.
func TestDemandBurstOnASlowLinkNeedsABudget(t *testing.T) {
	is := is.New(t)
	w := simulateDemandBurst(t, nil)
	is.True(w.wire.unanswered > 0)
}
