// Package trace extracts the history of one job from the logs of several
// processes.
package trace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is a log line about the job, or about the state that decisions about the job
// depended on.
type Line struct {
	At    time.Time
	Node  string
	Event string
	// Fields holds the other fields of the line.
	Fields map[string]any
}

// History is the part of the logs that explains what happened to a job.
type History struct {
	Lines []Line
	// Omitted counts the lines, of any job, that the processes left out to limit the
	// size of their logs. Some of them may have concerned this job.
	Omitted int
	// Unreadable counts lines that aren't JSON.
	Unreadable int
}

// maxLineBytes is the maximum length of a log line, in bytes.
const maxLineBytes = 1 << 20

// contextEvents are the events that affect every job, such as a change of the process
// that owns the jobs or of the configuration in force.
var contextEvents = map[string]bool{
	"owner": true, "owner_no_more": true, "owner_vacates": true, "configuration_in_force": true,
	"start": true, "stop": true, "stopping": true, "feed_lost": true, "feed_regained": true, "loaded": true,
}

// vmEvents are the events of a VM that are relevant to a job that ran on it.
var vmEvents = map[string]bool{
	"vm_silent": true, "vm_back": true, "vm_reborn": true, "vm_gone": true, "vm_draining": true, "vm_suspected": true,
	"machine_upkept": true, "machine_moved": true,
}

// Read returns the history of a job from the logs of several processes.
func Read(job string, logs ...io.Reader) (History, error) {
	var h History
	var all []Line
	vms := map[string]bool{}
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			l, ok := parse(s.Text())
			if !ok {
				h.Unreadable++
				continue
			}
			if n, ok := l.Fields["omitted"].(float64); ok {
				h.Omitted += int(n)
			}
			if l.concerns(job) {
				if vm, ok := l.Fields["vm"].(string); ok {
					vms[vm] = true
				}
			}
			all = append(all, l)
		}
		if err := s.Err(); err != nil {
			return h, errors.Wrap(err, "read log")
		}
	}
	h.Lines = selectLines(job, all, vms)
	return h, nil
}

// selectLines sorts all by time and returns the job's own lines and, between the first and
// the last of them, the context events and the events of VMs on which the job ran.
func selectLines(job string, all []Line, vms map[string]bool) []Line {
	slices.SortStableFunc(all, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node)) })
	first, last := -1, -1
	for i, l := range all {
		if l.concerns(job) {
			if first < 0 {
				first = i
			}
			last = i
		}
	}
	if first < 0 {
		return nil
	}
	var out []Line
	for _, l := range all[first : last+1] {
		vm, _ := l.Fields["vm"].(string)
		if l.concerns(job) || contextEvents[l.Event] || (vmEvents[l.Event] && vms[vm]) {
			out = append(out, l)
		}
	}
	return out
}

// concerns reports whether the line names the job or one of its tasks.
func (l Line) concerns(job string) bool {
	if id, _ := l.Fields["job"].(string); id == job {
		return true
	}
	task, _ := l.Fields["task"].(string)
	return strings.HasPrefix(task, job+".")
}

// parse decodes a log line. It skips anything before the first brace, such as the
// prefix that a log collector adds.
func parse(text string) (Line, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[i:]), &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	if ms, ok := fields["time"].(float64); ok {
		l.At = time.UnixMilli(int64(ms)).UTC()
	}
	l.Node, _ = fields["node"].(string)
	l.Event, _ = fields["event"].(string)
	if l.Event == "" {
		l.Event, _ = fields["message"].(string)
	}
	for _, k := range []string{"time", "node", "event", "level"} {
		delete(fields, k)
	}
	return l, true
}
