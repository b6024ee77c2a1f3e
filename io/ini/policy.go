package ini

import (
	"os"
	"slices"
	"strings"
	"time"

	inilib "gopkg.in/ini.v1"

	"lavenderpond/core"
	"lavenderpond/core/policy"
)

// exceptionPrefix starts the header of a section that defines an exception.
const exceptionPrefix = "exception "

// enabledKey is the only key of a section that belongs to a switch.
const enabledKey = "enabled"

var policyHeaders = headerSyntax{
	func(name string) bool {
		exception, ok := strings.CutPrefix(name, exceptionPrefix)
		return isSnakeCase(name) || ok && isValidName(exception)
	},
	"a section as in [admission] or [exception NAME], alone on its line",
}

// exceptionKey defines one key of the sections [exception NAME].
type exceptionKey struct {
	key      string
	required bool
	help     string
	allowed  string
	// parse stores the value v in e and returns false if v is not allowed.
	parse func(e *policy.Exception, v string) bool
}

// exceptionKeys defines all keys of an exception. The parser and docs/SETTINGS.md are
// derived from it.
var exceptionKeys = []exceptionKey{
	{"decision", true, "The decision that doesn't apply.", "one of " + strings.Join(decisionNames(), ", "), parseDecision},
	{"account", false, "The client account that is exempt. Not given: all.", "the name of a client account",
		func(e *policy.Exception, v string) bool { return setName(&e.Account, v) }},
	{"queue", false, "The queue that is exempt. Not given: all.", "the name of a queue",
		func(e *policy.Exception, v string) bool { return setName(&e.Queue, v) }},
	{"reason", true, "Why; shown in logs and dumps.", "a text that isn't empty",
		func(e *policy.Exception, v string) bool { return setName(&e.Reason, v) }},
	{"end", false, "When the exception ends. Not given: never.", "a time, as in 2030-01-31T18:00:00Z", parseEnd},
}

func setName[T ~string](field *T, v string) bool {
	*field = T(v)
	return v != ""
}

func parseDecision(e *policy.Exception, v string) bool {
	i := slices.Index(decisionNames(), v)
	if i >= 0 {
		e.Decision = policy.Decisions()[i]
	}
	return i >= 0
}

// parseEnd refuses the zero time, which would mean that the exception doesn't end.
func parseEnd(e *policy.Exception, v string) bool {
	end, err := time.Parse(time.RFC3339, v)
	e.End = end
	return err == nil && !end.IsZero()
}

func decisionNames() []string {
	var names []string
	for _, d := range policy.Decisions() {
		names = append(names, d.String())
	}
	return names
}

// LoadPolicy reads the policy file at path. If the file can be read but has mistakes, the
// error is a Problems.
func LoadPolicy(path string) (policy.Policy, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return policy.Policy{}, core.Errorf(core.CodeInvalidSetting, "%v; give the path of a policy file", err)
	}
	return ParsePolicy(path, data)
}

// ParsePolicy reads the operators' policy from data. An exception that has ended is no mistake:
// a process that is restarted after the end must start. The name file appears in errors. The
// error is a Problems that lists every mistake.
func ParsePolicy(file string, data []byte) (policy.Policy, error) {
	x := indexLinesOf(policyHeaders, file, strings.TrimPrefix(string(data), "\ufeff"))
	f, err := inilib.LoadSources(loadOptions, []byte(strings.Join(x.acceptedLines, "\n")))
	if err != nil {
		x.addProblem(1, "file", err.Error(), "an INI file")
		return policy.Policy{}, x.problems
	}
	x.rejectUnknownOfPolicy()
	var p policy.Policy
	for _, s := range policy.Switches() {
		x.applySwitch(&p, s, f)
	}
	for _, section := range f.SectionStrings() {
		if strings.HasPrefix(section, exceptionPrefix) {
			p.Exceptions = append(p.Exceptions, x.parseException(section, f))
		}
	}
	if len(x.problems) > 0 {
		slices.SortStableFunc(x.problems, func(a, b Problem) int { return a.Line - b.Line })
		return policy.Policy{}, x.problems
	}
	return p, nil
}

// rejectUnknownOfPolicy reports sections and keys that no policy has.
func (x *lineIndex) rejectUnknownOfPolicy() {
	for section, n := range x.sections {
		if keysOfPolicySection(section) == nil {
			x.addProblem(n, section, "["+section+"]", "one of the sections "+policySectionNames())
		}
	}
	for path, n := range x.keys {
		if known := keysOfPolicySection(path.section); known != nil && !slices.Contains(known, path.key) {
			x.addProblem(n, path.String(), path.key, "one of "+strings.Join(known, ", "))
		}
	}
	slices.SortFunc(x.problems, func(a, b Problem) int { return strings.Compare(a.Key, b.Key) })
}

// keysOfPolicySection returns the keys that a section allows, or nil if it is unknown.
func keysOfPolicySection(section string) []string {
	if strings.HasPrefix(section, exceptionPrefix) {
		var keys []string
		for _, k := range exceptionKeys {
			keys = append(keys, k.key)
		}
		return keys
	}
	if slices.ContainsFunc(policy.Switches(), func(s policy.Switch) bool { return s.Name == section }) {
		return []string{enabledKey}
	}
	return nil
}

func policySectionNames() string {
	var b strings.Builder
	for _, s := range policy.Switches() {
		b.WriteString("[" + s.Name + "] ")
	}
	return b.String() + "[" + exceptionPrefix + "NAME]"
}

// applySwitch sets the switch as its section says. Without a section it stays off.
func (x *lineIndex) applySwitch(p *policy.Policy, s policy.Switch, f *inilib.File) {
	path := keyPath{s.Name, enabledKey}
	n := x.keys[path]
	if n == 0 {
		if header := x.sections[s.Name]; header != 0 && !x.hasProblem(path) {
			x.addProblem(header, path.String(), "", "true or false; the key is required")
		}
		return
	}
	switch v := f.Section(s.Name).Key(enabledKey).Value(); v {
	case "true", "false":
		s.Set(p, v == "true")
	default:
		x.addProblem(n, path.String(), v, "true or false")
	}
}

// parseException reads the exception of a section.
func (x *lineIndex) parseException(section string, f *inilib.File) policy.Exception {
	e := policy.Exception{Name: strings.TrimPrefix(section, exceptionPrefix)}
	for _, k := range exceptionKeys {
		path := keyPath{section, k.key}
		n := x.keys[path]
		switch {
		case n != 0:
			v := f.Section(section).Key(k.key).Value()
			if !k.parse(&e, v) {
				x.addProblem(n, path.String(), v, k.allowed)
			}
		case k.required && !x.hasProblem(path):
			x.addProblem(x.sections[section], path.String(), "", k.allowed+"; the key is required")
		}
	}
	return e
}
