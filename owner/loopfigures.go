package owner

import "time"

const (
	// loopFiguresInterval is the time between two updates of the figures of the loop. The count of
	// what the shard holds walks all jobs.
	loopFiguresInterval = time.Second

	// figureHeldJobs, figureHeldOccurrences and figureHeldTasks are the figures of what an owner keeps
	// in memory of its jobs; see shard.Held.
	figureHeldJobs        = "held_jobs"
	figureHeldOccurrences = "held_occurrences"
	figureHeldTasks       = "held_tasks"

	// figureSlowestRound is the figure of the longest round of the loop since the last update, in
	// milliseconds.
	figureSlowestRound = "slowest_round_ms"
)

// loopFigures collects the figures of a duty's loop between two updates.
type loopFigures struct {
	updatedAt    time.Time
	slowestRound time.Duration
}

// publishLoopFigures takes the time that a round took, and updates the figures if that is due.
func (d *Duty) publishLoopFigures(took time.Duration, now time.Time) {
	d.loopFigures.slowestRound = max(d.loopFigures.slowestRound, took)
	if now.Sub(d.loopFigures.updatedAt) < loopFiguresInterval {
		return
	}
	held := d.core.Held()
	d.setFigure(figureHeldJobs, float64(held.Jobs))
	d.setFigure(figureHeldOccurrences, float64(held.Occurrences))
	d.setFigure(figureHeldTasks, float64(held.Tasks))
	d.setFigure(figureSlowestRound, float64(d.loopFigures.slowestRound.Milliseconds()))
	d.loopFigures = loopFigures{
		updatedAt: now,
	}
}

// clearLoopFigures sets the figures to zero at the end of a duty.
func (d *Duty) clearLoopFigures() {
	for _, name := range []string{figureHeldJobs, figureHeldOccurrences, figureHeldTasks, figureSlowestRound} {
		d.setFigure(name, 0)
	}
}
