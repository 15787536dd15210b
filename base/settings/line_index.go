package settings

import "strings"

// lineIndex holds the line numbers of sections and keys, which the INI library
// does not report.
type lineIndex struct {
	// sections are in the order of the file. The first one has no name and holds
	// the keys before the first section.
	sections []sectionLines
}

type sectionLines struct {
	name string
	line int
	// keys maps each key to the line of its first occurrence.
	keys map[string]int
	// duplicates maps the lines of further occurrences to their keys.
	duplicates map[int]string
}

func indexLines(data []byte) lineIndex {
	index := lineIndex{sections: []sectionLines{newSectionLines("", 0)}}
	for i, line := range strings.Split(string(data), "\n") {
		index.add(i+1, strings.TrimSpace(line))
	}
	return index
}

func newSectionLines(name string, line int) sectionLines {
	return sectionLines{name: name, line: line, keys: map[string]int{}, duplicates: map[int]string{}}
}

func (x *lineIndex) add(number int, line string) {
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
	section := x.sections[len(x.sections)-1]
	key = strings.TrimSpace(key)
	if _, exists := section.keys[key]; exists {
		section.duplicates[number] = key
		return
	}
	section.keys[key] = number
}
