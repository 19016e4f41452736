package replication

import "sync"

// signal wakes all goroutines that wait for it. The zero value is ready for use.
type signal struct {
	mu sync.Mutex
	ch chan struct{} // Closed by the next raise; nil while nobody waits.
}

// wait returns a channel that the next raise closes.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// raise wakes those who wait.
func (s *signal) raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
