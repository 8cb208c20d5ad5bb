package shard

import (
	"time"

	"lemonstream.dev/lemonstream/job"
)

const (
	// evacuationInterval is the time between two searches for long-running tasks to move out of
	// evacuated zones.
	evacuationInterval = 100 * time.Millisecond

	// maxEvacuating is how many long-running tasks of a service may be without a worker at one
	// time for more to be moved out of a zone. The room that one step finds elsewhere is compared
	// with the tasks of all steps that need a worker, but steps differ in what they need: the
	// larger tasks of other steps may use up more of it than is counted.
	maxEvacuating = 8

	// stayLogInterval is the minimum time between two lines of a zone that say why long-running
	// tasks stay there.
	stayLogInterval = 2 * time.Second
)

// reasonEvacuated is the logged reason of stops in evacuated zones.
const reasonEvacuated = "zone is evacuated"

// Reasons why a long-running task stays in an evacuated zone.
const (
	// stayGang means that the step may not miss all members of its gang at one time.
	stayGang stayReason = "gang"

	// stayMayMiss means that as many other tasks of the step are unavailable as it may miss.
	stayMayMiss stayReason = "may_miss"

	// stayOthersMove means that maxEvacuating others are on their way.
	stayOthersMove stayReason = "others_move"

	// stayRoom means that workers elsewhere have no room for the task.
	stayRoom stayReason = "room"

	// stayUnsettled means that it is not known yet whether the run works, or that it stops.
	stayUnsettled stayReason = "unsettled"

	// moves means that the task is moved.
	moves stayReason = ""
)

// stayReason is why a long-running task stays in an evacuated zone, or moves if it does not.
type stayReason string

// ZoneRuns is what an owner knows to run in an evacuated zone.
type ZoneRuns struct {
	Zone string

	// Runs counts the runs that may be in the zone, Lasting those of long-running steps.
	Runs    int
	Lasting int
}

// evacuatedZone is what this owner knows of an evacuated zone in which the service has workers.
type evacuatedZone struct {
	ZoneRuns

	// since is when this owner first found the zone evacuated.
	since time.Time

	// unsure says that a worker of the zone has not answered yet, or does not answer.
	unsure bool

	// staying counts, by reason, the long-running tasks that stay.
	staying map[stayReason]int

	// emptied says that it was logged that nothing runs in the zone. stayLoggedAt is when it was
	// last logged why tasks stay.
	emptied      bool
	stayLoggedAt time.Time
}

// evacuationSearch is the state of one search for long-running tasks to move.
type evacuationSearch struct {
	// seeking counts the long-running tasks that need a worker.
	seeking int

	// full holds the steps, by their first task, for whose tasks there is no room elsewhere. It
	// saves a walk over all workers for each further task of the step. Moves only lessen the
	// room, so it holds until the end of the search.
	full map[job.TaskID]bool
}

// EvacuatedZones returns what runs in evacuated zones, as of the last search.
func (s *Shard) EvacuatedZones() []ZoneRuns {
	list := make([]ZoneRuns, 0, len(s.evacuated))
	for _, zone := range s.evacuated {
		list = append(list, zone.ZoneRuns)
	}
	return list
}

// moveOutOfZones stops long-running tasks in evacuated zones so that they start elsewhere, as far as
// other workers have room for them and their steps may miss them. Short tasks end where they are.
func (s *Shard) moveOutOfZones(now time.Time) {
	if now.Before(s.nextEvacuationAt) {
		return
	}
	s.nextEvacuationAt = now.Add(evacuationInterval)
	s.findEvacuated(now)
	if len(s.evacuated) == 0 {
		return
	}
	search := evacuationSearch{
		seeking: s.countLongRunningSeeking(now),
		full:    make(map[job.TaskID]bool),
	}
	for _, w := range s.workers {
		zone := s.evacuated[w.reg.Zone]
		if zone == nil {
			continue
		}
		for id, r := range w.runs {
			spec, found := s.stepOf(id)
			if !found || !spec.Lasting {
				continue
			}
			reason := s.whyStay(r, spec, search, now)
			if reason != moves {
				zone.staying[reason]++
				continue
			}
			search.seeking += s.moveOut(r, spec)
		}
	}
	for _, zone := range s.evacuated {
		s.logZone(zone, now)
	}
}

// findEvacuated counts what runs in each evacuated zone in which the service has workers.
func (s *Shard) findEvacuated(now time.Time) {
	found := make(map[string]*evacuatedZone)
	for _, w := range s.workers {
		if !s.isEvacuated(w) {
			continue
		}
		zone := found[w.reg.Zone]
		if zone == nil {
			zone = &evacuatedZone{
				since: now,
			}
			if before := s.evacuated[w.reg.Zone]; before != nil {
				*zone = *before
			}
			zone.ZoneRuns = ZoneRuns{
				Zone: w.reg.Zone,
			}
			zone.unsure = false
			zone.staying = make(map[stayReason]int)
			found[w.reg.Zone] = zone
		}
		zone.Runs += len(w.runs)
		zone.unsure = zone.unsure || !w.contacted || w.failures > 0 || s.isInHandover(w)
		for id := range w.runs {
			if s.isLongRunning(id) {
				zone.Lasting++
			}
		}
	}
	s.evacuated = found
}

// countLongRunningSeeking returns how many long-running tasks need a worker. Those that have been
// without one for stuckAfter fit nowhere and are not counted. Tasks that have never run are
// included: if they were counted for good, a few of them would stop every evacuation.
func (s *Shard) countLongRunningSeeking(now time.Time) int {
	count := 0
	for _, j := range s.jobs {
		if j.state.Final() || !j.hasLongRunningStep() {
			continue
		}
		// This owner does not know since when tasks of earlier owners have been idle.
		idleFrom := j.record.acceptedAt()
		if idleFrom.Before(s.takenAt) {
			idleFrom = s.takenAt
		}
		for k, o := range j.occurrences {
			for st, step := range o.steps {
				if j.record.Spec.Steps[st].Lasting && j.isReady(k, st) {
					count += step.countSeeking() - step.countIdleFor(stuckAfter, idleFrom, now)
				}
			}
		}
	}
	return count
}

// whyStay returns why a long-running task stays in an evacuated zone.
func (s *Shard) whyStay(r *run, spec *job.Step, search evacuationSearch, now time.Time) stayReason {
	step := r.id
	step.Index = 0
	switch {
	case r.phase != phaseRunning:
		return stayUnsettled
	case spec.Gang && spec.HasMayMiss && spec.MayMiss < spec.Count:
		return stayGang
	case !s.canDisrupt(r.id, spec):
		return stayMayMiss
	case search.seeking >= maxEvacuating:
		return stayOthersMove
	case search.full[step]:
		return stayRoom
	case !s.hasRoomElsewhere(r.id, spec, search.seeking, now):
		search.full[step] = true
		return stayRoom
	default:
		return moves
	}
}

// hasRoomElsewhere reports whether other workers have room for a long-running task, or for all of
// its gang, beside the given number of tasks that need a worker.
func (s *Shard) hasRoomElsewhere(id job.TaskID, spec *job.Step, seeking int, now time.Time) bool {
	count := 1
	if spec.Gang {
		count = spec.Count
	}
	return s.countPlacements(id, spec, now) >= seeking+count
}

// moveOut stops a long-running task, and with it all members of its gang, which start together only.
// It returns the number of tasks that it stops.
func (s *Shard) moveOut(r *run, spec *job.Step) int {
	if !spec.Gang {
		s.evict(r, reasonEvacuated)
		return 1
	}
	step := s.jobs[r.id.Job].step(r.id)
	for _, member := range step.states {
		for _, other := range member.runs {
			s.stop(other, reasonEvacuated)
		}
	}
	return step.count
}

// logZone logs that nothing runs in an evacuated zone any more, or why tasks stay there.
func (s *Shard) logZone(zone *evacuatedZone, now time.Time) {
	switch {
	case zone.Runs > 0:
		zone.emptied = false
		s.logStaying(zone, now)
	case !zone.unsure && !zone.emptied:
		zone.emptied = true
		s.opts.LogEvent("zone emptied", "zone", zone.Zone, "after_ms", now.Sub(zone.since).Milliseconds())
	}
}

// logStaying logs why long-running tasks stay in an evacuated zone.
func (s *Shard) logStaying(zone *evacuatedZone, now time.Time) {
	if len(zone.staying) == 0 || now.Sub(zone.since) < stayLogInterval || now.Sub(zone.stayLoggedAt) < stayLogInterval {
		return
	}
	zone.stayLoggedAt = now
	fields := []any{"zone", zone.Zone, "runs", zone.Runs, "lasting", zone.Lasting}
	for _, reason := range []stayReason{stayGang, stayMayMiss, stayOthersMove, stayRoom, stayUnsettled} {
		if count := zone.staying[reason]; count > 0 {
			fields = append(fields, string(reason), count)
		}
	}
	s.opts.LogEvent("long-running tasks stay in evacuated zone", fields...)
}
