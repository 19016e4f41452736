package engineload

// sweep is the progress of messages that contain what has changed. Each message continues at the
// engine where the last one has ended, and a sweep ends after the last engine. An engine is
// contained if it has changed since the sweep before began, as it may have changed after that
// sweep had passed it.
type sweep struct {
	next    int   // Position of the next engine.
	since   int64 // Sequence of changes at the start of the sweep before.
	startAt int64 // Sequence of changes at the start of this sweep.
}

// changes returns the changed loads for the next message of a sweep. get returns the load at a
// position and the sequence of its last change. The caller must hold mu.
func (c *collector) changes(s *sweep, get func(i int) (values, int64)) []engineValues {
	if s.next == 0 || s.next >= len(c.sums) {
		s.next, s.since, s.startAt = 0, s.startAt, c.sequence
	}
	var list []engineValues
	for s.next < len(c.sums) && len(list) < maxChanges {
		v, changed := get(s.next)
		if changed > s.since {
			list = append(list, engineValues{c.sums[s.next].key, v})
		}
		s.next++
	}
	return list
}
