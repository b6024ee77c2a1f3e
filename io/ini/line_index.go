package ini

import (
	"strings"
)

// keyPath is where a key stands in a file.
type keyPath struct{ section, key string }

func (p keyPath) String() string { return p.section + "." + p.key }

// lineIndex tells the lines of sections and keys, which ini.v1 doesn't keep.
type lineIndex struct {
	file     string
	sections map[string]int
	keys     map[keyPath]int
	problems Problems
	// acceptedLines are the lines that were not refused, for ini.v1.
	acceptedLines []string
}

// rejectedSection stands for a section whose header was refused, so that its keys are
// not reported one by one.
const rejectedSection = "?"

// indexLines walks over the lines of data. It refuses what ini.v1 would take in
// silence: keys outside of a section, duplicates, quoted names and values, and
// values of several lines.
func indexLines(file, data string) *lineIndex {
	x := &lineIndex{file: file, sections: map[string]int{}, keys: map[keyPath]int{}}
	section := ""
	for i, line := range strings.Split(data, "\n") {
		line = strings.TrimSpace(line)
		refused := len(x.problems)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = x.addSection(i+1, line)
		default:
			x.addKey(i+1, section, line)
		}
		if len(x.problems) == refused {
			x.acceptedLines = append(x.acceptedLines, line)
		}
	}
	return x
}

func (x *lineIndex) addSection(n int, line string) string {
	name, rest, closed := strings.Cut(line[1:], "]")
	if !closed || rest != "" || !isSnakeCase(name) {
		x.addProblem(n, line, line, "a section of lower-case letters, as in [entry], alone on its line")
		return rejectedSection
	}
	if x.sections[name] == 0 {
		x.sections[name] = n
	}
	return name
}

func (x *lineIndex) addKey(n int, section, line string) {
	name, value, found := strings.Cut(line, "=")
	at := keyPath{section, strings.TrimSpace(name)}
	value = strings.TrimSpace(value)
	switch {
	case !found || !isSnakeCase(at.key):
		x.addProblem(n, "line", line, "'key = value', '[section]' or a comment that starts with '#'")
	case section == "":
		x.addProblem(n, at.key, line, "only keys below a [section]")
	case section == rejectedSection:
	case x.keys[at] != 0:
		x.addProblem(n, at.String(), value, "one line for each key, and it stands on line "+itoa(x.keys[at]))
	case strings.ContainsAny(value, "\"`'"):
		x.addProblem(n, at.String(), value, "a value without quotes")
	case strings.ContainsAny(value, "#;\\"):
		x.addProblem(n, at.String(), value, "a value without #, ; and backslash; comments have their own line")
	default:
		x.keys[at] = n
	}
}

func (x *lineIndex) addProblem(n int, key, read, allowed string) {
	x.problems = append(x.problems, Problem{x.file, n, truncate(key), truncate(redact(key, read)), allowed})
}

// redact keeps credentials out of errors and thus out of logs: an operator who
// writes the key itself in place of its digest, or a password into a URL, gets
// an error that doesn't repeat it.
func redact(key, read string) string {
	if strings.Contains(key+read, operatorKeyDigestKey) || strings.Contains(read, "@") {
		return "(" + itoa(len(read)) + " characters, not shown)"
	}
	return read
}

// isSnakeCase reports whether s is in snake case.
func isSnakeCase(s string) bool {
	return s != "" && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789_") == ""
}
