package shard

// fencesPerEpoch is the room of fences of one owner at one worker. A later owner starts above
// it.
const fencesPerEpoch = 1 << 12

// fenceAt returns the fence of the orders to a worker.
func (s *Shard) fenceAt(worker string) int64 {
	return s.epoch*fencesPerEpoch + s.raised[worker]
}

// raiseFence makes a worker that was silent refuse, once it hears of a later order, the starts that
// got no answer or are under way. Its next incarnation knows of no stop: it would begin a run that
// was started elsewhere meanwhile, before it can be told to stop it.
func (s *Shard) raiseFence(w *workerState) {
	fence := s.fenceAt(w.reg.ID)
	outstanding := false
	for _, r := range w.runs {
		outstanding = outstanding || (r.order.Fence == fence && (r.unanswered || r.isBeingStarted()))
	}
	for _, one := range s.unanswered[w.reg.ID] {
		outstanding = outstanding || one.run.order.Fence == fence
	}
	if outstanding && s.raised[w.reg.ID] < fencesPerEpoch-1 {
		s.raised[w.reg.ID]++
	}
}

// isOutdated reports whether the fence of an order to a worker has been raised since: that the
// worker refuses it tells of no newer owner.
func (s *Shard) isOutdated(worker string, fence int64) bool {
	return fence < s.fenceAt(worker)
}

// isBeingStarted reports whether an order to start the run is under way.
func (r *run) isBeingStarted() bool {
	return r.call != 0 && (r.phase == phaseStarting || r.phase == phaseDoubtful)
}
