//go:build !race

package prove

// raceDetector says that the tests run with the race detector.
const raceDetector = false
