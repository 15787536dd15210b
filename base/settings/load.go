// Package settings decodes INI files into structs and reports all problems of a
// file at once, each with its line number.
//
// The target struct has one field for each section, tagged ini:"section". A
// field of struct type stands for a section that may occur once. A field that
// is a slice of structs collects the sections named "section some-name", and
// the field of its element tagged ini:"-name" is set to some-name. Tags
// validate:"..." hold rules of the validator library. The tag empty:"zero" permits an
// empty value, which stands for zero.
package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"camphorpulley.org/base/wrap"

	"gopkg.in/ini.v1"
)

// Problem describes one problem of a file.
type Problem struct {
	File string
	// Line is counted from one; zero stands for the file as a whole.
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

// Error reports all problems of a file.
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

// Load reads the file at path and decodes it into a struct of type T. The error
// is an *Error if the file could be read but has problems.
func Load[T any](path string) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, wrap.Err(err, "read settings")
	}
	return Parse[T](path, data)
}

// Parse decodes the text of a file into a struct of type T and applies the
// validate tags. Name stands for the file in problems. The error is an *Error
// that lists the problems by line.
func Parse[T any](name string, data []byte) (T, error) {
	var result T
	d := &decoder{file: name, index: indexLines(data)}
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:   true,
		IgnoreInlineComment:      true,
		SpaceBeforeInlineComment: true,
	}, data)
	if err != nil {
		d.addProblem(0, "not an INI file: %v", err)
		return result, d.err()
	}
	d.decodeFile(f, reflect.ValueOf(&result).Elem())
	d.validate(&result)
	return result, d.err()
}
