package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/suspect"
)

// closeFor is how long a worker stays closed after it was last asked for. The
// duty that asks does so several times a second; when it dies, the worker is
// open again soon.
const closeFor = 2 * time.Second

// reasonTaken says that a worker ended because its instance was moved or taken down.
const reasonTaken = "instance was taken"

// Load is what a service needs and has, for whoever sizes its pool.
type Load struct {
	// Fence is that of the owner that tells it; 0 where an earlier version does.
	Fence int64

	// Used is the room that runs take; Waiting is what tasks need that could
	// start on any worker if there were room.
	Used    job.Room
	Waiting job.Room

	// Coming is what such tasks need whose step waits for another to end.
	Coming job.Room

	// Late is the part of Used and Waiting together, and LateComing that of Coming, that
	// belongs to jobs which can't end in time any more, whatever room they get.
	Late       job.Room
	LateComing job.Room

	// Spread is the number of workers that the widest step with a limit for
	// each worker needs.
	Spread int

	// Labelled maps a label to what waiting tasks and runs need of workers that
	// carry it.
	Labelled map[string]job.Room

	// Lasting is the part of Used that lasting tasks take.
	Lasting job.Room

	// Room is the mean room of a worker by the workers' own word, which shrinks and grows
	// while they run; zero where it is not known.
	Room job.Room

	// Workers holds each worker by its id.
	Workers map[string]WorkerLoad

	// alone is what tasks take that are to run alone.
	alone aloneNeed
}

// aloneNeed reckons what tasks need beyond their own room that are to run alone.
type aloneNeed struct {
	// room is that of a worker; left is of how many more tasks it is asked for.
	room job.Room
	left int
}

// need returns the room of a worker for each idle task of a step that is to run alone, as
// far as workers may be kept for such. Without it the pool sees free room while they wait,
// and shrinks: one waited for 33 s beside 20 workers none of which emptied.
func (n *aloneNeed) need(step *stepState) job.Room {
	var sum job.Room
	for _, index := range step.idle {
		if t := step.tasks[index]; t.crashed.Alone() && !t.crashed.GivenUp() && n.left > 0 {
			n.left--
			sum = sum.Add(n.room)
		}
	}
	return sum
}

// WorkerLoad is what a worker is doing.
type WorkerLoad struct {
	// Runs counts what may run there; Lasting those of lasting steps.
	Runs    int
	Lasting int
	Used    job.Room

	// Busy is how long its short runs are expected to go on.
	Busy time.Duration

	// Closed says that nothing new is placed there. Born is told of such a worker only:
	// when its incarnation began, zero where that is not known.
	Closed bool
	Born   time.Time

	// Draining says that the worker announced its end.
	Draining bool

	// Known says that this owner has looked at the worker: before that, it may
	// run what an earlier owner started there.
	Known bool

	// Reached says that the worker answered its last look.
	Reached bool
}

// SetClosed replaces the set of workers where nothing new is placed and lasting
// tasks are moved away, as far as their steps allow it.
func (s *Shard) SetClosed(ids []string, now time.Time) {
	s.given = nil
	s.anyGivenUntil = time.Time{}
	closed := make(map[string]bool, len(ids))
	for _, id := range ids {
		closed[id] = true
	}
	for id, w := range s.workers {
		if closed[id] {
			if !now.Before(w.closedUntil) {
				s.opts.Report("worker closed", "worker", id, "runs", len(w.runs))
			}
			w.closedUntil = now.Add(closeFor)
		} else {
			w.closedUntil = time.Time{}
		}
	}
}

// InheritGiven takes in the workers whose instances were about to be ordered when this owner
// took the shard: an owner before had told that nothing runs there. Where that is not known, it
// may be any on which nothing runs. Until the holder of the instances says what is closed, or
// its orders must have had their effect, nothing is started there: the order would end it.
func (s *Shard) InheritGiven(ids []string, known bool, now time.Time) {
	until := now.Add(closeFor)
	if !known {
		s.anyGivenUntil = until
	}
	s.given = make(map[string]time.Time, len(ids))
	for _, id := range ids {
		s.given[id] = until
	}
}

// mayBeGiven reports whether an order to a worker's instance may be under way of which this
// owner was not told.
func (s *Shard) mayBeGiven(w *workerState, now time.Time) bool {
	return len(w.runs) == 0 && (now.Before(s.anyGivenUntil) || now.Before(s.given[w.reg.ID]))
}

// End drops workers whose instance was moved or taken down, also those that were not listed
// yet. It is told their incarnations by name, several times: a worker that has started again
// since goes on. By the id alone it was refused for goneFor, and a new owner gave up what the
// owner before had started on it.
func (s *Shard) End(names []string, now time.Time) {
	for _, name := range names {
		taken := outside.ParseIncarnation(name)
		if s.isGone(taken) {
			continue
		}
		w, found := s.workers[taken.Worker]
		switch {
		case !found:
			s.noteGone(taken, now)
		case !s.listedOnce && !taken.Born.IsZero() && w.incarnation().Born.IsZero():
			// Its row will tell whether it has started again.
			s.takenUnseen = append(s.takenUnseen, name)
		case w.incarnation().Same(taken):
			s.endWorker(w, now, reasonTaken)
		}
	}
}

// Load returns what the service needs and has.
func (s *Shard) Load(now time.Time) Load {
	load := Load{
		Fence:    s.epoch,
		Labelled: make(map[string]job.Room),
		Room:     s.meanRoom(),
		Workers:  make(map[string]WorkerLoad, len(s.workers)),
		alone: aloneNeed{
			room: s.meanRoom(),
			left: suspect.AloneMost(len(s.workers)),
		},
	}
	for id, w := range s.workers {
		one := WorkerLoad{
			Runs:     len(w.runs),
			Used:     w.used,
			Closed:   now.Before(w.closedUntil),
			Draining: w.reg.Draining,
			Known:    w.known,
			Reached:  w.known && w.failures == 0,
		}
		if one.Closed {
			one.Born = w.incarnation().Born
		}
		load.Used = load.Used.Add(w.used)
		for id, r := range w.runs {
			step, found := s.stepOf(id)
			if found && s.jobs[id.Job].isLate(now) {
				load.Late = load.Late.Add(step.Charge())
			}
			if found && step.Label != "" {
				load.Labelled[step.Label] = load.Labelled[step.Label].Add(step.Charge())
			}
			switch {
			case !found:
			case step.Lasting:
				one.Lasting++
				load.Lasting = load.Lasting.Add(step.Charge())
			default:
				one.Busy = max(one.Busy, s.left(r, step, now))
			}
		}
		load.Workers[id] = one
	}
	for _, j := range s.jobs {
		if !j.state.Final() {
			s.addWaiting(j, &load, now)
		}
	}
	return load
}

// addWaiting adds what the idle tasks of a job need.
func (s *Shard) addWaiting(j *jobState, load *Load, now time.Time) {
	for k, o := range j.occurrences {
		for st, step := range o.steps {
			spec := &j.record.Spec.Steps[st]
			if step.left == 0 {
				continue
			}
			if spec.PerWorker > 0 {
				stuck := step.stuck(now)
				load.Spread = max(load.Spread, stuck+(step.left+spec.PerWorker-1)/spec.PerWorker)
			}
			if len(step.idle) == 0 {
				continue
			}
			need := times(spec.Charge(), len(step.idle)).Add(load.alone.need(step))
			late := s.outlookOf(group{
				job:        j,
				occurrence: k,
				step:       st,
			}, now) != outlookFull
			switch {
			case spec.Label != "":
				load.Labelled[spec.Label] = load.Labelled[spec.Label].Add(need)
			case j.ready(k, st):
				load.Waiting = load.Waiting.Add(need)
				if late {
					load.Late = load.Late.Add(need)
				}
			default:
				load.Coming = load.Coming.Add(need)
				if late {
					load.LateComing = load.LateComing.Add(need)
				}
			}
		}
	}
}

// left returns how much longer a run is expected to go on. One that takes longer
// than expected is expected to take half as long again.
func (s *Shard) left(r *run, step *job.Step, now time.Time) time.Duration {
	passed := now.Sub(r.began)
	expected := s.expect(s.jobs[r.id.Job], step)
	if passed < expected {
		return expected - passed
	}
	return passed / 2
}

// stepOf returns the step of a task of a known job.
func (s *Shard) stepOf(id job.TaskID) (*job.Step, bool) {
	j := s.jobs[id.Job]
	if j == nil || id.Step >= len(j.record.Spec.Steps) {
		return nil, false
	}
	return &j.record.Spec.Steps[id.Step], true
}

// isLasting reports whether a task of a known job is to run until its job is cancelled.
func (s *Shard) isLasting(id job.TaskID) bool {
	spec, found := s.stepOf(id)
	return found && spec.Lasting
}

func times(r job.Room, n int) job.Room {
	return job.Room{
		MilliCPU:     r.MilliCPU * n,
		MemoryMB:     r.MemoryMB * n,
		Accelerators: r.Accelerators * n,
	}
}
