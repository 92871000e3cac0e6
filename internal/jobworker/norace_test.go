//go:build !race

package jobworker_test

// raceDetector says that the race detector is on.
const raceDetector = false
