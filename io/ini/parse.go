package ini

import (
	"sort"
	"strings"

	inilib "gopkg.in/ini.v1"
)

// loadOptions make ini.v1 read keys and values literally: no multi-line values, no
// inline comments, no unquoting. Lines that it would skip are reported by indexLines.
var loadOptions = inilib.LoadOptions{
	IgnoreContinuation:      true,
	IgnoreInlineComment:     true,
	PreserveSurroundedQuote: true,
	KeyValueDelimiters:      "=",
	SkipUnrecognizableLines: true,
}

// Parse reads settings from data. The name file appears in errors. The error is a
// Problems that lists every mistake.
func Parse(file string, data []byte) (Settings, error) {
	text := strings.TrimPrefix(string(data), "\ufeff")
	x := indexLines(file, text)
	f, err := inilib.LoadSources(loadOptions, []byte(strings.Join(x.acceptedLines, "\n")))
	if err != nil {
		x.addProblem(1, "file", err.Error(), "an INI file")
		return Settings{}, x.problems
	}
	x.rejectUnknown()
	var s Settings
	for _, st := range settingTable {
		x.applySetting(&s, st, f)
	}
	x.checkCombinations(&s)
	if len(x.problems) > 0 {
		sort.SliceStable(x.problems, func(i, j int) bool { return x.problems[i].Line < x.problems[j].Line })
		return Settings{}, x.problems
	}
	return s, nil
}

// rejectUnknown reports unknown sections and keys. Otherwise a misspelt key would go
// unnoticed, and the setting would keep its default.
func (x *lineIndex) rejectUnknown() {
	known := map[string][]string{}
	for _, st := range settingTable {
		known[st.section] = append(known[st.section], st.key)
	}
	for section, n := range x.sections {
		if known[section] == nil {
			x.addProblem(n, section, "["+section+"]", "one of the sections "+sectionNames())
		}
	}
	for path, n := range x.keys {
		if _, ok := findSetting(path); !ok && known[path.section] != nil {
			x.addProblem(n, path.String(), path.key, "one of "+strings.Join(known[path.section], ", "))
		}
	}
	sort.Slice(x.problems, func(i, j int) bool { return x.problems[i].Key < x.problems[j].Key })
}

// applySetting stores the value that f has for st in s, or the default value if f has
// none.
func (x *lineIndex) applySetting(s *Settings, st setting, f *inilib.File) {
	n := x.keys[st.keyPath]
	switch {
	case n != 0:
		v := f.Section(st.section).Key(st.key).Value()
		if !st.valueKind.parse(s, v) {
			x.addProblem(n, st.String(), v, st.valueKind.allowed)
		}
	case st.required && !x.hasProblem(st.keyPath):
		x.addProblem(0, st.String(), "", st.valueKind.allowed+"; the key is required")
	case st.defaultValue != "":
		st.valueKind.parse(s, st.defaultValue)
	}
}

// hasProblem reports whether a problem with the key has been reported.
func (x *lineIndex) hasProblem(path keyPath) bool {
	for _, p := range x.problems {
		if p.Key == path.String() {
			return true
		}
	}
	return false
}

// checkCombinations checks settings that depend on each other: advertise_peer defaults
// to peer_listen, and zone must be one of zones.
func (x *lineIndex) checkCombinations(s *Settings) {
	if !s.Entry.AdvertisePeer.IsValid() && s.Entry.PeerListen.IsValid() {
		s.Entry.AdvertisePeer = s.Entry.PeerListen
		if !isDialable(s.Entry.PeerListen) {
			path := keyPath{"entry", "advertise_peer"}
			x.addProblem(x.keys[path], path.String(), "", "an address that others can connect to, since peer_listen is none")
		}
	}
	path := keyPath{"entry", "zone"}
	if len(x.problems) > 0 || x.keys[path] == 0 {
		return
	}
	for _, z := range s.Entry.Zones {
		if z == s.Entry.Zone {
			return
		}
	}
	x.addProblem(x.keys[path], path.String(), string(s.Entry.Zone), "one of the zones in entry.zones")
}

func sectionNames() string {
	names := make([]string, len(sections))
	for i, section := range sections {
		names[i] = "[" + section.name + "]"
	}
	return strings.Join(names, " ")
}
