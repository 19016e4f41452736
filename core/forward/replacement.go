package forward

// discardReplacement releases the replacement of a stream that is not resumed, and its part
// of the retry budget.
func (s *stream) discardReplacement() {
	if s.replacement == nil {
		return
	}
	s.endReservation(s.replacement)
	s.router.returnExtraCall(s.service.Name)
	s.replacement = nil
}

// useReplacement returns the reservation with which a stalled stream is resumed, and takes
// over its part of the retry budget. It returns false if there is none.
func (s *stream) useReplacement() (decodeReservation, bool) {
	if s.replacement == nil {
		return decodeReservation{}, false
	}
	reserved := *s.replacement
	s.replacement = nil
	s.stalledAt = s.lastEngine
	s.takeOverExtraCall()
	return reserved, true
}

// returnToStalled permits another attempt after a replacement that has not run, also at the
// engine whose call was cancelled for it. Its call is made even if the retry budget is used
// up: the engine would have gone on without this program's decision.
func (s *stream) returnToStalled() bool {
	delete(s.tried, s.stalledAt)
	s.stalledAt = ""
	if !s.holdsExtraCall {
		s.router.holdExtraCallAnyway(s.service.Name)
		s.holdsExtraCall = true
	}
	return true
}

// holdExtraCall keeps a part of the retry budget for the call of the next attempt, unless an
// attempt that has sent nothing has left one. It returns false if the budget is used up.
func (s *stream) holdExtraCall() bool {
	if !s.holdsExtraCall {
		s.holdsExtraCall = s.router.holdExtraCall(s.service.Name)
	}
	return s.holdsExtraCall
}

// takeOverExtraCall takes over a part of the retry budget that was kept for the stream elsewhere.
// One is enough for its next call.
func (s *stream) takeOverExtraCall() {
	if s.holdsExtraCall {
		s.router.returnExtraCall(s.service.Name)
	}
	s.holdsExtraCall = true
}

// useExtraCall counts the call that is about to be sent, if it is an extra call.
func (s *stream) useExtraCall() {
	if s.holdsExtraCall {
		s.holdsExtraCall = false
		s.router.useExtraCall(s.service.Name)
	}
}

// returnExtraCall returns the part of the retry budget of a call that was not sent.
func (s *stream) returnExtraCall() {
	if s.holdsExtraCall {
		s.holdsExtraCall = false
		s.router.returnExtraCall(s.service.Name)
	}
}
