package ini

import (
	"strings"
)

// keyPath identifies a key by its section and name.
type keyPath struct{ section, key string }

func (p keyPath) String() string { return p.section + "." + p.key }

// lineIndex records the line numbers of sections and keys, which ini.v1 doesn't
// provide, and collects the problems of a file.
type lineIndex struct {
	file           string
	sectionHeaders headerSyntax
	// sections and keys are the lines on which they first appear, counted from 1.
	sections map[string]int
	keys     map[keyPath]int
	problems Problems
	// acceptedLines are the lines without a problem, which are passed on to ini.v1.
	acceptedLines []string
}

// rejectedSection is the name of the current section after an invalid header. Keys in
// such a section are not reported, because the header already is.
const rejectedSection = "?"

// headerSyntax says which names a kind of file allows for its sections.
type headerSyntax struct {
	isValid func(name string) bool
	allowed string
}

var settingsHeaders = headerSyntax{isSnakeCase, "a section of lower-case letters, as in [entry], alone on its line"}

// indexLines indexes the lines of a file with the settings of lavenderpondd.
func indexLines(file, data string) *lineIndex { return indexLinesOf(settingsHeaders, file, data) }

// indexLinesOf indexes the lines of data. It reports what ini.v1 would silently accept:
// keys outside of a section, duplicate keys, quoted names and values, and values that
// continue on the next line.
func indexLinesOf(headers headerSyntax, file, data string) *lineIndex {
	x := &lineIndex{file: file, sectionHeaders: headers, sections: map[string]int{}, keys: map[keyPath]int{}}
	section := ""
	for i, line := range strings.Split(data, "\n") {
		line = strings.TrimSpace(line)
		problemsBefore := len(x.problems)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = x.addSection(i+1, line)
		default:
			x.addKey(i+1, section, line)
		}
		if len(x.problems) == problemsBefore {
			x.acceptedLines = append(x.acceptedLines, line)
		}
	}
	return x
}

// addSection records the section header on line n and returns the section's name.
func (x *lineIndex) addSection(n int, line string) string {
	name, rest, closed := strings.Cut(line[1:], "]")
	if !closed || rest != "" || !x.sectionHeaders.isValid(name) {
		x.addProblem(n, line, line, x.sectionHeaders.allowed)
		return rejectedSection
	}
	if x.sections[name] == 0 {
		x.sections[name] = n
	}
	return name
}

// addKey records the key on line n, or reports what is wrong with the line.
func (x *lineIndex) addKey(n int, section, line string) {
	name, value, found := strings.Cut(line, "=")
	path := keyPath{section, strings.TrimSpace(name)}
	value = strings.TrimSpace(value)
	switch {
	case !found || !isSnakeCase(path.key):
		x.addProblem(n, "line", line, "'key = value', '[section]' or a comment that starts with '#'")
	case section == "":
		x.addProblem(n, path.key, line, "only keys below a [section]")
	case section == rejectedSection:
	case x.keys[path] != 0:
		x.addProblem(n, path.String(), value, "one line for each key, and it stands on line "+itoa(x.keys[path]))
	case strings.ContainsAny(value, "\"`'"):
		x.addProblem(n, path.String(), value, "a value without quotes")
	case strings.ContainsAny(value, "#;\\"):
		x.addProblem(n, path.String(), value, "a value without #, ; and backslash; comments have their own line")
	default:
		x.keys[path] = n
	}
}

// addProblem records that line n has the text found, and what is allowed instead. For a
// missing key, n is 0.
func (x *lineIndex) addProblem(n int, key, found, allowed string) {
	x.problems = append(x.problems, Problem{x.file, n, truncate(key), truncate(redact(key, found)), allowed})
}

// redact returns found in the form in which it may appear in errors, and thus in logs. It
// hides credentials: an operator may have written the operator key itself in place of its
// digest, or a password in a URL.
func redact(key, found string) string {
	if strings.Contains(key+found, operatorKeyDigestKey) || strings.Contains(found, "@") {
		return "(" + itoa(len(found)) + " characters, not shown)"
	}
	return found
}

// isSnakeCase reports whether s consists of lower-case letters, digits and underscores.
func isSnakeCase(s string) bool {
	return s != "" && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789_") == ""
}
