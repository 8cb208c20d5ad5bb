//go:build !race

package owner_test

// raceDetector says that the tests run with the race detector.
const raceDetector = false
