package sheet

import (
	"fmt"
	"strings"

	"camphorpulley.org/core"
	"camphorpulley.org/core/datacentre"
)

// UnknownDataCentreError reports a data centre that has no section in a sheet.
type UnknownDataCentreError struct {
	DataCentre core.DataCentre
}

// Error implements error.
func (e *UnknownDataCentreError) Error() string {
	return fmt.Sprintf("the sheet has no data centre %q", e.DataCentre)
}

// SetService returns the text of a sheet after setting the key "service" of
// one data centre, which it adds if the section has none. All other lines stay
// unchanged. The error is an *UnknownDataCentreError.
func SetService(text []byte, name core.DataCentre, service datacentre.ServiceState) ([]byte, error) {
	lines := strings.Split(string(text), "\n")
	header, end, ok := findSection(lines, "datacentre "+string(name))
	if !ok {
		return nil, &UnknownDataCentreError{DataCentre: name}
	}
	entry := "service = " + string(service)
	for i := header + 1; i < end; i++ {
		key, _, found := strings.Cut(lines[i], "=")
		if found && strings.TrimSpace(key) == "service" {
			lines[i] = entry
			return []byte(strings.Join(lines, "\n")), nil
		}
	}
	lines = append(lines[:header+1], append([]string{entry}, lines[header+1:]...)...)
	return []byte(strings.Join(lines, "\n")), nil
}

// findSection returns the index of a section's header and the index after its
// last line, and whether the section exists.
func findSection(lines []string, name string) (header, end int, ok bool) {
	for i, line := range lines {
		line = strings.TrimSpace(line)
		switch {
		case line == "["+name+"]":
			header, ok = i, true
		case ok && strings.HasPrefix(line, "["):
			return header, i, true
		}
	}
	return header, len(lines), ok
}
