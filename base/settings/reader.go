package settings

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// nameTag marks the field that receives the second word of a section's name.
const nameTag = "-name"

type reader struct {
	file     string
	lines    lineIndex
	problems []Problem
	// values remembers the line of each struct that was filled, for the
	// problems that the validator finds.
	values []filled
}

type filled struct {
	path  string
	lines sectionLines
}

func (r *reader) add(line int, format string, args ...any) {
	r.problems = append(r.problems, Problem{File: r.file, Line: line, Text: fmt.Sprintf(format, args...)})
}

func (r *reader) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return &Error{Problems: r.problems}
}

func (r *reader) file2struct(f *ini.File, target reflect.Value) {
	seen := map[string]int{}
	for i, section := range r.sections(f) {
		lines := r.lines.sections[i]
		for line, key := range lines.twice {
			r.add(line, "key %q stands twice in section [%s]", key, lines.name)
		}
		if lines.name == "" {
			for key, line := range lines.keys {
				r.add(line, "key %q stands before the first section", key)
			}
			continue
		}
		if first, twice := seen[lines.name]; twice {
			r.add(lines.line, "section [%s] stands twice, first on line %d", lines.name, first)
			continue
		}
		seen[lines.name] = lines.line
		r.section(section, lines, target)
	}
}

// sections returns the library's sections in the order of the line index.
func (r *reader) sections(f *ini.File) []*ini.Section {
	counts := map[string]int{}
	found := make([]*ini.Section, len(r.lines.sections))
	for i, s := range r.lines.sections {
		name := s.name
		if name == "" {
			name = ini.DefaultSection
		}
		all, err := f.SectionsByName(name)
		if err == nil && counts[name] < len(all) {
			found[i] = all[counts[name]]
		}
		counts[name]++
	}
	return found
}

func (r *reader) section(s *ini.Section, lines sectionLines, target reflect.Value) {
	word, name, named := strings.Cut(lines.name, " ")
	field, ok := fieldByTag(target, word)
	if !ok || s == nil {
		r.add(lines.line, "unknown section [%s]", lines.name)
		return
	}
	if field.Kind() != reflect.Slice {
		if named {
			r.add(lines.line, "section [%s] takes no name", word)
			return
		}
		r.fill(s, lines, field)
		r.values = append(r.values, filled{structField(target, word), lines})
		return
	}
	if !named {
		r.add(lines.line, "section [%s] needs a name, as in [%s some-name]", word, word)
		return
	}
	element := reflect.New(field.Type().Elem()).Elem()
	if f, ok := fieldByTag(element, nameTag); ok {
		f.SetString(strings.TrimSpace(name))
	}
	r.fill(s, lines, element)
	field.Set(reflect.Append(field, element))
	r.values = append(r.values, filled{fmt.Sprintf("%s[%d]", structField(target, word), field.Len()-1), lines})
}

func (r *reader) fill(s *ini.Section, lines sectionLines, target reflect.Value) {
	for _, key := range s.Keys() {
		line := lines.keys[key.Name()]
		field, ok := fieldByTag(target, key.Name())
		if !ok || key.Name() == nameTag {
			r.add(line, "unknown key %q in section [%s]", key.Name(), lines.name)
			continue
		}
		if err := set(field, key.Value()); err != nil {
			r.add(line, "key %q: %v", key.Name(), err)
		}
	}
}

// TypeError reports a value that can't be read as the type of its key.
type TypeError struct {
	Value string
	Want  string
}

// Error implements error.
func (e *TypeError) Error() string {
	return fmt.Sprintf("%q is not %s", e.Value, e.Want)
}

func set(field reflect.Value, text string) error {
	if field.Type() == reflect.TypeFor[time.Duration]() {
		d, err := time.ParseDuration(text)
		if err != nil {
			return &TypeError{text, "a duration such as 250ms or 3s"}
		}
		field.SetInt(int64(d))
		return nil
	}
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return &TypeError{text, "a whole number"}
		}
		field.SetInt(int64(n))
	case reflect.Uint64:
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return &TypeError{text, "a whole number, not negative"}
		}
		field.SetUint(n)
	case reflect.Float64:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return &TypeError{text, "a number"}
		}
		field.SetFloat(x)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return &TypeError{text, "true or false"}
		}
		field.SetBool(b)
	case reflect.Slice:
		return setSlice(field, text)
	default:
		return &TypeError{text, "of a type that settings can have"}
	}
	return nil
}

func setSlice(field reflect.Value, text string) error {
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		element := reflect.New(field.Type().Elem()).Elem()
		if err := set(element, part); err != nil {
			return err
		}
		field.Set(reflect.Append(field, element))
	}
	return nil
}

func fieldByTag(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("ini") == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func structField(v reflect.Value, name string) string {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("ini") == name {
			return v.Type().Field(i).Name
		}
	}
	return ""
}
