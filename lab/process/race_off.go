//go:build !race

package process

// raceEnabled reports whether this program has the race detector; Build then adds
// it to the programs it builds.
const raceEnabled = false
