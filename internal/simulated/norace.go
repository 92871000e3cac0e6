//go:build !race

package simulated

// raceDetector says that the race detector is on.
const raceDetector = false
