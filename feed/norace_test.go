//go:build !race

package feed_test

// raceDetector says that the tests run with the race detector.
const raceDetector = false
