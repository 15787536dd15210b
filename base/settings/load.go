// Package settings reads INI files into structs and reports every problem of
// a file at once, each with its line.
//
// A struct has one field for each section, tagged ini:"name". A field that is
// a struct is a section that may stand once. A field that is a slice of
// structs collects the sections named "name some-name"; the element's field
// tagged ini:"-name" receives the second word. Tags validate:"..." hold the
// rules of the validator library.
package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"camphorpulley.org/base/wrap"

	"gopkg.in/ini.v1"
)

// Problem is one fault of a file.
type Problem struct {
	File string
	// Line is counted from one; zero means the file as a whole.
	Line int
	Text string
}

// String returns the problem as file:line: text.
func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
}

// Error holds all problems of a file.
type Error struct {
	Problems []Problem
}

// Error implements error with a line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads a file into a struct of type T.
func Load[T any](path string) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, wrap.Err(err, "read settings")
	}
	return Parse[T](path, data)
}

// Parse reads the text of a file into a struct of type T. The error is an
// *Error if the text has problems.
func Parse[T any](name string, data []byte) (T, error) {
	var result T
	r := &reader{file: name, lines: scanLines(data)}
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:   true,
		IgnoreInlineComment:      true,
		SpaceBeforeInlineComment: true,
	}, data)
	if err != nil {
		r.add(0, "not an INI file: %v", err)
		return result, r.err()
	}
	r.file2struct(f, reflect.ValueOf(&result).Elem())
	r.validate(&result)
	return result, r.err()
}
