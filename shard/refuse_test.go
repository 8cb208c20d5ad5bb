package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/shard"
)

// retryAfter is the minimum time after which a refused caller submits its job again.
const retryAfter = time.Second

// submitWithAge submits a job to the owner, as read by an entry the given time ago, and
// records the answer to the caller.
func (w *world) submitWithAge(id string, age time.Duration, steps ...job.Step) {
	record := w.record(id, steps...)
	record.AcceptedMillis = w.now.Add(-age).UnixMilli()
	w.core.Submit(record, w.now, func(answer shard.SubmitResult) {
		w.taken[id] = answer.Accepted
		w.turned[id] = answer.Refused
		if answer.Refused {
			w.refusalHeardAt[id] = w.now
		}
	})
}

// applyLateWrite applies the write of an entry that read the job the given time ago. The write
// has the conditions of a real one: the job is unknown, and no stored refusal covers this
// attempt. It reports whether the record is stored.
func (w *world) applyLateWrite(id string, age time.Duration, steps ...job.Step) bool {
	if _, stands := w.records[id]; stands {
		return true
	}
	if _, ended := w.progress[id]; ended {
		return true
	}
	record := w.record(id, steps...)
	record.AcceptedMillis = w.now.Add(-age).UnixMilli()
	if refusal, stands := w.refused[id]; stands && refusal.Covers(record) {
		return false
	}
	delete(w.refused, id)
	w.store(record)
	return true
}

// readIntake passes all stored records to the owner, including those that entries wrote.
func (w *world) readIntake() {
	for _, record := range w.records {
		w.core.Accept(record, w.version, false, w.now)
	}
}

// newOverloadedWorld returns a world whose only worker cannot run all submitted jobs before
// their deadlines.
func newOverloadedWorld() *world {
	w := newWorld(1)
	w.run(200 * time.Millisecond)
	w.core.SetMaxInstances(1)
	for i := range 20 {
		w.submitWithAge(fmt.Sprintf("before-%02d", i), 0, step(4))
		w.run(tick)
	}
	return w
}

// TestJobThatWouldEndTooLateIsRefused submits more jobs than one worker can run in time. Jobs
// that would end too late are refused and never run; every accepted job completes.
func TestJobThatWouldEndTooLateIsRefused(t *testing.T) {
	is := is.New(t)
	w := newOverloadedWorld()
	w.run(200 * time.Millisecond)
	turned := 0
	for i := range 20 {
		id := fmt.Sprintf("before-%02d", i)
		is.True(w.taken[id] != w.turned[id]) // Each job is either accepted or refused.
		if w.turned[id] {
			turned++
		}
	}
	is.True(turned >= 10)
	is.True(turned <= 18)
	is.True(w.taken["before-00"])
	w.run(10 * time.Second)
	for id, taken := range w.taken {
		if taken {
			is.Equal(w.shown[id], job.Completed)
		}
	}
	w.check(t)
}

// TestRefusedJobMayBeSubmittedAgain submits a refused job again once there is capacity.
func TestRefusedJobMayBeSubmittedAgain(t *testing.T) {
	is := is.New(t)
	w := newOverloadedWorld()
	w.run(8 * time.Second)
	is.True(w.turned["before-19"])
	w.submitWithAge("before-19", 0, step(4))
	w.turned["before-19"] = false
	w.run(3 * time.Second)
	is.Equal(w.shown["before-19"], job.Completed)
	w.check(t)
}

// TestEarlierAttemptOfRefusedJobDoesNotRun covers the write of an entry that takes effect after
// the owner has refused the job, both with the same owner and with the next one.
func TestEarlierAttemptOfRefusedJobDoesNotRun(t *testing.T) {
	for name, takenOver := range map[string]bool{
		"same owner": false,
		"successor":  true,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newOverloadedWorld()
			w.run(200 * time.Millisecond)
			is.True(w.turned["before-19"])
			is.True(!w.applyLateWrite("before-19", 3*time.Second, step(4)))
			if takenOver {
				w.takeOver()
			}
			w.readIntake()
			w.run(20 * time.Second)
			_, stands := w.records["before-19"]
			is.True(!stands)
			w.check(t)
		})
	}
}

// TestAttemptJustBeforeRefusalDoesNotRun covers a caller whose connection broke and who turned
// to another entry at once. The first entry read the job shortly before it was refused.
func TestAttemptJustBeforeRefusalDoesNotRun(t *testing.T) {
	is := is.New(t)
	w := newOverloadedWorld()
	w.run(100 * time.Millisecond)
	is.True(w.turned["before-19"])
	is.True(!w.applyLateWrite("before-19", 300*time.Millisecond, step(4)))
	w.readIntake()
	w.run(20 * time.Second)
	w.check(t)
}

// TestJobWrittenByAnEntryIsNotRefused covers an entry that gets no answer from the owner and
// writes the record itself, while the owner is about to refuse the job.
func TestJobWrittenByAnEntryIsNotRefused(t *testing.T) {
	is := is.New(t)
	w := newOverloadedWorld()
	w.submitWithAge("slow", 0, step(4))
	is.True(w.applyLateWrite("slow", 0, step(4))) // No refusal is stored yet.
	w.run(200 * time.Millisecond)
	is.True(w.taken["slow"])
	is.True(!w.turned["slow"])
	w.run(20 * time.Second)
	is.Equal(w.shown["slow"], job.Completed)
	w.check(t)
}

// TestEarlierSubmissionOfRefusedJobDoesNotRun covers a call to the owner that arrives after the
// job was refused in a call of another entry.
func TestEarlierSubmissionOfRefusedJobDoesNotRun(t *testing.T) {
	is := is.New(t)
	w := newOverloadedWorld()
	w.run(8 * time.Second) // The worker has capacity again.
	is.True(w.turned["before-19"])
	w.submitWithAge("before-19", 9*time.Second, step(4))
	w.run(3 * time.Second)
	is.True(!w.taken["before-19"])
	_, shown := w.shown["before-19"]
	is.True(!shown)
	w.check(t)
}

// TestStoredJobIsNotRefused covers a job whose record was written by an entry and which its
// caller submits again before the owner has read the record.
func TestStoredJobIsNotRefused(t *testing.T) {
	is := is.New(t)
	w := newOverloadedWorld()
	w.applyLateWrite("again", 100*time.Millisecond, step(4))
	w.submitWithAge("again", 0, step(4))
	w.run(200 * time.Millisecond)
	is.True(w.taken["again"])
	is.True(!w.turned["again"])
	w.run(20 * time.Second)
	is.Equal(w.shown["again"], job.Completed)
	w.check(t)
}

// TestRefusalsAreTrue draws attempts to submit the same jobs through several entries, calls and
// writes that arrive late, takeovers and outages of the store. The oracle knows the last answer
// to each caller: a job that was refused last never starts, and an accepted job is never lost.
func TestRefusalsAreTrue(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		w := newWorld(1)
		w.run(200 * time.Millisecond)
		stays := make(map[string]bool)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			w.core.SetMaxInstances(rapid.IntRange(0, 1).Draw(t, "most"))
			id := fmt.Sprintf("j-%d", rapid.IntRange(0, 12).Draw(t, "job"))
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0, 1, 2:
				if w.turned[id] && w.now.Sub(w.refusalHeardAt[id]) < retryAfter {
					break
				}
				// A new attempt: the answer to the previous one no longer applies.
				w.turned[id] = false
				w.submitWithAge(id, 0, step(4))
			case 3:
				// An earlier attempt that another entry read before the last answer.
				if w.turned[id] {
					w.applyLateWrite(id, w.now.Sub(w.refusalHeardAt[id])+retryAfter, step(4))
				}
			case 4:
				// Such an attempt whose call reaches the owner late.
				if w.turned[id] {
					w.submitWithAge(id, w.now.Sub(w.refusalHeardAt[id])+retryAfter, step(4))
				}
			case 5:
				w.takeOver()
			case 6:
				w.storeDown = !w.storeDown
			case 7:
				w.readIntake()
			case 8:
				// An entry that got no answer from the owner writes the record itself and
				// tells its caller. The attempt is new, or the owner is still deciding on it.
				if w.turned[id] && w.now.Sub(w.refusalHeardAt[id]) < retryAfter {
					break
				}
				w.turned[id] = false
				if w.applyLateWrite(id, 0, step(4)) {
					stays[id] = true
				}
			}
			w.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tick)
			for id, taken := range w.taken {
				if taken && !w.turned[id] {
					stays[id] = true
				}
			}
		}
		w.storeDown = false
		w.readIntake()
		w.run(time.Minute)
		for id := range stays {
			if w.shown[id] != job.Completed {
				w.addViolation("job %s was accepted but its state is %q", id, w.shown[id])
			}
		}
		w.check(t)
	})
}
