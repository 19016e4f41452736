//go:build !race

package process

// raceEnabled makes built programs carry the race detector, as this one does.
const raceEnabled = false
