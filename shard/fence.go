package shard

// fencesPerEpoch is the number of fences that one owner may use at a worker. The fences of the
// next owner start above them.
const fencesPerEpoch = 1 << 12

// fenceAt returns the fence for orders to a worker.
func (s *Shard) fenceAt(worker string) int64 {
	return s.epoch*fencesPerEpoch + s.fenceRaises[worker]
}

// raiseFence raises the fence of a silent worker if starts are unanswered or in flight there. The
// worker refuses these starts once it has received an order with the new fence. Otherwise its next
// incarnation, which knows of no stop, could begin a run that has been started elsewhere meanwhile.
func (s *Shard) raiseFence(w *workerState) {
	fence := s.fenceAt(w.reg.ID)
	outstanding := false
	for _, r := range w.runs {
		outstanding = outstanding || (r.order.Fence == fence && (r.unanswered || r.isStartInFlight()))
	}
	for _, start := range s.unanswered[w.reg.ID] {
		outstanding = outstanding || start.run.order.Fence == fence
	}
	if outstanding && s.fenceRaises[w.reg.ID] < fencesPerEpoch-1 {
		s.fenceRaises[w.reg.ID]++
	}
}

// isStaleFence reports whether the worker's fence has been raised since an order with the given
// fence was sent. If the worker refuses such an order, that does not indicate a newer owner.
func (s *Shard) isStaleFence(worker string, fence int64) bool {
	return fence < s.fenceAt(worker)
}

// isStartInFlight reports whether an order to start the run is in flight.
func (r *run) isStartInFlight() bool {
	return r.call != 0 && (r.phase == phaseStarting || r.phase == phaseUncertain)
}
