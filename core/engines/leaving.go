package engines

// Leaves reports whether the engine completes its open requests and then stops, according to the
// latest list that this instance has received or to one of the engine's answers.
func (e *Engine) Leaves() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state == Leaving || e.announcedLeaving
}
