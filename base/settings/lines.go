package settings

import "strings"

// lineIndex finds the lines of sections and keys, which the INI library does
// not tell.
type lineIndex struct {
	sections []sectionLines
}

type sectionLines struct {
	name string
	line int
	keys map[string]int
	// twice holds the lines of keys that stand in the section already.
	twice map[int]string
}

func scanLines(data []byte) lineIndex {
	index := lineIndex{sections: []sectionLines{newSectionLines("", 0)}}
	for i, line := range strings.Split(string(data), "\n") {
		index.scan(i+1, strings.TrimSpace(line))
	}
	return index
}

func newSectionLines(name string, line int) sectionLines {
	return sectionLines{name: name, line: line, keys: map[string]int{}, twice: map[int]string{}}
}

func (x *lineIndex) scan(number int, line string) {
	if line == "" || line[0] == '#' || line[0] == ';' {
		return
	}
	if line[0] == '[' {
		name, _, _ := strings.Cut(line[1:], "]")
		x.sections = append(x.sections, newSectionLines(strings.TrimSpace(name), number))
		return
	}
	key, _, ok := strings.Cut(line, "=")
	if !ok {
		return
	}
	last := x.sections[len(x.sections)-1]
	key = strings.TrimSpace(key)
	if _, known := last.keys[key]; known {
		last.twice[number] = key
		return
	}
	last.keys[key] = number
}
