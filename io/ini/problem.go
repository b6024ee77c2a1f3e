package ini

import (
	"fmt"
	"strings"

	"lavenderpond/core"
)

// Problem is one mistake in a settings file.
type Problem struct {
	File string
	// Line is 0 for a key that is missing from the file.
	Line int
	// Key is "section.key", or "section" for an unknown section.
	Key     string
	Read    string
	Allowed string
}

// String returns the problem as one line for a person.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: read %q, allowed is %s", p.File, p.Line, p.Key, p.Read, p.Allowed)
}

// Problems are all mistakes in a settings file, by line.
type Problems []Problem

// Error implements error, with one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap gives the problems their numbered code.
func (ps Problems) Unwrap() error {
	return core.Errorf(core.CodeInvalidSetting, "%d problems in the settings", len(ps))
}

// maxShownValue bounds how much of a wrong value an error repeats, in bytes.
const maxShownValue = 80

func truncate(v string) string {
	if len(v) <= maxShownValue {
		return v
	}
	return strings.ToValidUTF8(v[:maxShownValue], "") + "..."
}
