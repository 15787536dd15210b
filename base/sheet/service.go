package sheet

import (
	"fmt"
	"strings"

	"camphorpulley.org/core"
	"camphorpulley.org/core/datacentre"
)

// UnknownError reports a data centre that the sheet doesn't have.
type UnknownError struct {
	DataCentre core.DataCentre
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("the sheet has no data centre %q", e.DataCentre)
}

// SetService returns the text of a sheet with one data centre taken in or out
// of service. All other lines stay as they are.
func SetService(text []byte, name core.DataCentre, service datacentre.Service) ([]byte, error) {
	lines := strings.Split(string(text), "\n")
	first, last, ok := section(lines, "datacentre "+string(name))
	if !ok {
		return nil, &UnknownError{DataCentre: name}
	}
	entry := "service = " + string(service)
	for i := first + 1; i < last; i++ {
		key, _, found := strings.Cut(lines[i], "=")
		if found && strings.TrimSpace(key) == "service" {
			lines[i] = entry
			return []byte(strings.Join(lines, "\n")), nil
		}
	}
	lines = append(lines[:first+1], append([]string{entry}, lines[first+1:]...)...)
	return []byte(strings.Join(lines, "\n")), nil
}

// section returns the index of a section's header and that of the next one.
func section(lines []string, name string) (first, last int, ok bool) {
	for i, line := range lines {
		line = strings.TrimSpace(line)
		switch {
		case line == "["+name+"]":
			first, ok = i, true
		case ok && strings.HasPrefix(line, "["):
			return first, i, true
		}
	}
	return first, len(lines), ok
}
