package answer

// Sequence follows the numbers of a stream's events over several runs. The
// zero value has seen none.
type Sequence struct {
	// Last is the number of the last event that was delivered.
	Last int
	// Known is set once Last is.
	Known bool
}

// Next decides on the event with a number.
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
