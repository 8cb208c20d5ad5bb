package prove

import "runtime"

// OneProcessor keeps a test with the race detector on one processor until restore is called: the
// detector's runtime ends the process now and then where time.AfterFunc runs in virtual time on
// several ones, see docs/incidents/feed-race-detector.md. Without the detector it does nothing.
func OneProcessor() (restore func()) {
	if !raceDetector {
		return func() {}
	}
	before := runtime.GOMAXPROCS(1)
	return func() { runtime.GOMAXPROCS(before) }
}
