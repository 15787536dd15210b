package answer

// EventSequence checks the event numbers of a stream whose request may run several
// times. The zero value accepts any first number.
type Sequence struct {
	// Last is the number of the last delivered event.
	Last int
	// HasLast is true once Last is set.
	Known bool
}

// Next decides on the event with the given number. An event to deliver becomes the
// last one.
func (s *Sequence) Next(number int) Verdict {
	switch {
	case !s.Known:
	case number <= s.Last:
		return Drop
	case number > s.Last+1:
		return Missing
	}
	s.Last, s.Known = number, true
	return Deliver
}
