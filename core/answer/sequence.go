package answer

// EventSequence checks the event numbers of a stream whose request may run several
// times. The zero value accepts any first number.
type EventSequence struct {
	// Last is the number of the last delivered event.
	Last int
	// HasLast is true once Last is set.
	HasLast bool
}

// Next decides on the event with the given number. An event to deliver becomes the
// last one.
func (s *EventSequence) Next(number int) Verdict {
	switch {
	case !s.HasLast:
	case number <= s.Last:
		return Drop
	case number > s.Last+1:
		return Missing
	}
	s.Last, s.HasLast = number, true
	return Deliver
}
