package backend

import "fmt"

// InvalidStatusError reports a response whose status begins with Digit, which no status of HTTP
// does. The library takes status 000 for 200.
type InvalidStatusError struct {
	Digit byte
}

// Error implements error.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("the status of the response begins with %q", e.Digit)
}

// statusCheck checks the first digit of the status of a response, and of the interim responses
// ahead of it, as the bytes arrive. The zero value expects a response.
type statusCheck struct {
	place statusPlace
	// emptyLine is true if the present line of an interim head has no bytes so far.
	emptyLine bool
}

// statusPlace is a place in a response.
type statusPlace int

const (
	beforeResponse statusPlace = iota
	inProtocol
	beforeStatus
	inInterimHead
	pastStatus
)

// check checks the next bytes. The error is an *InvalidStatusError.
func (s *statusCheck) check(p []byte) error {
	for _, b := range p {
		switch s.place {
		case beforeResponse:
			if b != '\r' && b != '\n' {
				s.place = inProtocol
			}
		case inProtocol:
			if b == ' ' {
				s.place = beforeStatus
			}
		case beforeStatus:
			if b == ' ' {
				continue
			}
			if b < '1' || b > '9' {
				return &InvalidStatusError{Digit: b}
			}
			s.place = pastStatus
			if b == '1' {
				s.place, s.emptyLine = inInterimHead, false
			}
		case inInterimHead:
			if b == '\n' && s.emptyLine {
				s.place = beforeResponse
			}
			s.emptyLine = b == '\n' || b == '\r' && s.emptyLine
		case pastStatus:
			return nil
		}
	}
	return nil
}
