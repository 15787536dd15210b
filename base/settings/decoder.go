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

// nameTag marks the field that is set to some-name in a section named
// "section some-name".
const nameTag = "-name"

// decoder decodes one file and collects its problems.
type decoder struct {
	file     string
	index    lineIndex
	problems []Problem
	// decoded lists the structs decoded from sections, so that problems found
	// by the validator get a line number.
	decoded []decodedSection
}

type decodedSection struct {
	// path is that of the struct in the target, such as "Pools[0]".
	path  string
	lines sectionLines
}

func (d *decoder) addProblem(line int, format string, args ...any) {
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Text: fmt.Sprintf(format, args...)})
}

func (d *decoder) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return &Error{Problems: d.problems}
}

func (d *decoder) decodeFile(f *ini.File, target reflect.Value) {
	firstLines := map[string]int{}
	for i, section := range d.sections(f) {
		lines := d.index.sections[i]
		for line, key := range lines.duplicates {
			d.addProblem(line, "duplicate key %q in section [%s]", key, lines.name)
		}
		if lines.name == "" {
			for key, line := range lines.keys {
				d.addProblem(line, "key %q is before the first section", key)
			}
			continue
		}
		if first, duplicate := firstLines[lines.name]; duplicate {
			d.addProblem(lines.line, "duplicate section [%s], first on line %d", lines.name, first)
			continue
		}
		firstLines[lines.name] = lines.line
		d.decodeSection(section, lines, target)
	}
}

// sections returns the library's sections in the order of the line index. An
// element is nil if the library has no such section.
func (d *decoder) sections(f *ini.File) []*ini.Section {
	counts := map[string]int{}
	found := make([]*ini.Section, len(d.index.sections))
	for i, s := range d.index.sections {
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

func (d *decoder) decodeSection(s *ini.Section, lines sectionLines, target reflect.Value) {
	kind, name, named := strings.Cut(lines.name, " ")
	field, ok := fieldByTag(target, kind)
	if !ok || s == nil {
		d.addProblem(lines.line, "unknown section [%s]", lines.name)
		return
	}
	if field.Kind() != reflect.Slice {
		if named {
			d.addProblem(lines.line, "section [%s] must not have a name", kind)
			return
		}
		d.decodeKeys(s, lines, field)
		d.decoded = append(d.decoded, decodedSection{fieldNameByTag(target, kind), lines})
		return
	}
	if !named {
		d.addProblem(lines.line, "section [%s] must have a name, as in [%s some-name]", kind, kind)
		return
	}
	element := reflect.New(field.Type().Elem()).Elem()
	if f, ok := fieldByTag(element, nameTag); ok {
		f.SetString(strings.TrimSpace(name))
	}
	d.decodeKeys(s, lines, element)
	field.Set(reflect.Append(field, element))
	d.decoded = append(d.decoded, decodedSection{fmt.Sprintf("%s[%d]", fieldNameByTag(target, kind), field.Len()-1), lines})
}

func (d *decoder) decodeKeys(s *ini.Section, lines sectionLines, target reflect.Value) {
	for _, key := range s.Keys() {
		line := lines.keys[key.Name()]
		field, ok := fieldByTag(target, key.Name())
		if !ok || key.Name() == nameTag {
			d.addProblem(line, "unknown key %q in section [%s]", key.Name(), lines.name)
			continue
		}
		if key.Value() == "" && mayBeEmpty(target, key.Name()) {
			continue
		}
		if err := setValue(field, key.Value()); err != nil {
			d.addProblem(line, "key %q: %v", key.Name(), err)
		}
	}
}

// TypeError reports a value that cannot be parsed as the type of its key.
type TypeError struct {
	Value string
	// Expected describes the type, such as "a whole number".
	Expected string
}

// Error implements error.
func (e *TypeError) Error() string {
	return fmt.Sprintf("%q is not %s", e.Value, e.Expected)
}

// setValue parses text as the type of the field and sets the field to it.
func setValue(field reflect.Value, text string) error {
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
		return &TypeError{text, "of a type that settings support"}
	}
	return nil
}

// setSlice appends the comma-separated parts of text and skips empty ones.
func setSlice(field reflect.Value, text string) error {
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		element := reflect.New(field.Type().Elem()).Elem()
		if err := setValue(element, part); err != nil {
			return err
		}
		field.Set(reflect.Append(field, element))
	}
	return nil
}

// mayBeEmpty reports whether an empty value of a key stands for zero: the tag "empty" of its
// field is "zero". A template may leave the value of a setting empty that a deployment lacks.
func mayBeEmpty(v reflect.Value, name string) bool {
	for i := range v.NumField() {
		if tag := v.Type().Field(i).Tag; tag.Get("ini") == name {
			return tag.Get("empty") == "zero"
		}
	}
	return false
}

func fieldByTag(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("ini") == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func fieldNameByTag(v reflect.Value, name string) string {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("ini") == name {
			return v.Type().Field(i).Name
		}
	}
	return ""
}
