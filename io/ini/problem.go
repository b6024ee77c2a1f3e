package ini

import (
	"fmt"
	"strings"

	"lavenderpond/core"
)

// Problem is one mistake in a settings file.
type Problem struct {
	File string
	// Line is counted from 1. It is 0 for a key that is missing from the file.
	Line int
	// Key is "section.key" for a setting. Otherwise it is the name or header of a
	// section, a key outside of all sections, "line" for a line that is not INI
	// syntax, or "file" for a file that can't be parsed.
	Key string
	// Found is the text in the file, truncated, and redacted if it may be a credential.
	Found string
	// Allowed describes what the file should have instead.
	Allowed string
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: read %q, allowed is %s", p.File, p.Line, p.Key, p.Found, p.Allowed)
}

// Problems are all mistakes in a settings file, sorted by line.
type Problems []Problem

// Error implements error, with one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns an error that carries the code CodeInvalidSetting; see core.ErrorCode.
func (ps Problems) Unwrap() error {
	return core.Errorf(core.CodeInvalidSetting, "%d problems in the settings", len(ps))
}

// maxShownValue is the maximum length of a wrong value in an error, in bytes.
const maxShownValue = 80

// truncate shortens v to maxShownValue bytes, without splitting a UTF-8 character.
func truncate(v string) string {
	if len(v) <= maxShownValue {
		return v
	}
	return strings.ToValidUTF8(v[:maxShownValue], "") + "..."
}
