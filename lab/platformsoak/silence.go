package platformsoak

import "time"

// Timing of engines that fall silent.
const (
	minSilence        = 500 * time.Millisecond
	maxSilence        = 1800 * time.Millisecond
	minSilenceSpacing = 200 * time.Millisecond // From the end of a silence to the next one.
	maxSilenceSpacing = 2 * time.Second
	wholeServiceShare = 0.3 // Share of the silences of all engines of a service at once.
)

// silenceEngines makes an engine fall silent again and again, as if its process were suspended: new
// connections are accepted and bytes are taken, but nothing is answered until the silence ends. At
// times all engines of its service fall silent together, so that no other one can take the requests.
func silenceEngines(r *run, t target) (func() error, error) {
	silent := []*replica{t.replica}
	if t.random.Float64() < wholeServiceShare {
		silent = append(silent, r.reserveService(t.replica)...)
	}
	end := untilEnd(func() {
		for _, p := range silent {
			p.relay.Hold()
		}
		time.Sleep(randomDuration(t.random, minSilence, maxSilence))
		for _, p := range silent {
			p.relay.Heal()
		}
		time.Sleep(randomDuration(t.random, minSilenceSpacing, maxSilenceSpacing))
	})
	return func() error {
		end()
		for _, p := range silent[1:] {
			r.releaseTarget(p.name)
		}
		return nil
	}, nil
}

// reserveService reserves the other engines of a service that have no fault, and returns them.
func (r *run) reserveService(of *replica) []*replica {
	var reserved []*replica
	for _, p := range r.testbed.replicas {
		if p != of && p.spec.Service == of.spec.Service && r.reserveTarget(p.name) {
			reserved = append(reserved, p)
		}
	}
	return reserved
}
